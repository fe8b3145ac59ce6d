"""What a caller makes of an answer or of an error."""

import time
from typing import Final

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError, HTTPResponse

from hillfield.emulator.arrivals import Arrival
from hillfield.emulator.payloads import (
    OUTCOME_HEADER,
    PREFIX,
    fill_answer,
)
from hillfield.emulator.records import Call, Ending

OK: Final = 200
SHOWN: Final = 200
# The name in an answer is the first line after the prefix.
LINE_END: Final = b'\n'


def judge_answer(
    arrival: Arrival,
    started: float,
    answer: HTTPResponse,
) -> Call:
    """Record an answer: by whom it is, whether whole and the caller's own."""
    body = answer.body or b''
    expected = fill_answer(arrival.request, arrival.kind.answer_length)
    ending = read_ending(answer.code, answer.headers.get(OUTCOME_HEADER, ''))
    answered = ending is Ending.ANSWERED
    return Call(
        request=arrival.request,
        service=arrival.kind.service,
        node=str(arrival.node),
        idempotent=arrival.kind.idempotent,
        started=started,
        finished=time.monotonic(),
        status=answer.code,
        ending=ending,
        whole=answered and len(body) == len(expected),
        own=answered and is_own(body, arrival.request),
        detail='' if answered else _show(body),
    )


def judge_error(
    arrival: Arrival,
    started: float,
    error: HTTPClientError,
) -> Call:
    """Record that no whole answer came."""
    return Call(
        request=arrival.request,
        service=arrival.kind.service,
        node=str(arrival.node),
        idempotent=arrival.kind.idempotent,
        started=started,
        finished=time.monotonic(),
        status=0,
        ending=_name_error(error),
        detail=str(error),
    )


def read_ending(status: int, outcome: str) -> Ending:
    """Name the ending of a whole answer by status and outcome header.

    >>> read_ending(503, 'not-run').value, read_ending(500, '').value
    ('not-run', 'refused-by-target')
    """
    if outcome in {Ending.NOT_RUN, Ending.UNKNOWN}:
        return Ending(outcome)
    if status == OK:
        return Ending.ANSWERED
    return Ending.REFUSED_BY_TARGET


def is_own(body: bytes, request: str) -> bool:
    r"""Tell whether the answer names this request and no other.

    >>> is_own(b'answer a-1\na-1', 'a-1'), is_own(b'answer a-2\n', 'a-1')
    (True, False)
    """
    first, _, _ = body.removeprefix(PREFIX).partition(LINE_END)
    return first == request.encode()


def _name_error(error: HTTPClientError) -> Ending:
    if isinstance(error, CurlError) and error.errno == (
        pycurl.E_COULDNT_CONNECT
    ):
        return Ending.NO_CONNECTION
    return Ending.CUT


def _show(body: bytes) -> str:
    return body[:SHOWN].decode('utf-8', 'replace')
