"""Failure answers to callers."""

import math
from http import HTTPStatus

from msgspec import json
from tornado.httputil import ResponseStartLine

from hillfield.model import RequestFailure
from hillfield.proxy.fields import Fields, render_status

_CREDENTIALS_WANTED = 401


def reason_of(status: int) -> str:
    """Return the reason phrase of a status.

    >>> reason_of(404), reason_of(799)
    ('Not Found', 'Unknown')
    """
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def render_body(failure: RequestFailure, request: str) -> bytes:
    """Return the JSON body of a failure answer."""
    return json.encode(
        {
            'outcome': failure.outcome.value,
            'step': failure.step.value,
            'peer': failure.peer,
            'event': failure.event,
            'detail': failure.detail,
            'retry_after': failure.retry_after,
            'request': request,
        },
    )


def list_fields(
    failure: RequestFailure,
    request: str,
    length: int,
    *,
    fractional: bool = False,
) -> Fields:
    """Return the headers of a failure answer.

    The standard of Retry-After has whole seconds; `fractional` callers accept
    fractions, so they retry no later than necessary.
    """
    fields = Fields(
        (
            ('Content-Type', 'application/json'),
            ('Content-Length', str(length)),
            ('Hillfield-Outcome', failure.outcome.value),
            ('Hillfield-Step', failure.step.value),
            ('Hillfield-Event', str(failure.event)),
        ),
    )
    if failure.peer:
        fields.add('Hillfield-Peer', failure.peer)
    if request:
        fields.add('X-Request-Id', request)
    if failure.retry_after is not None:
        fields.add(
            'Retry-After',
            _show_wait(failure.retry_after, fractional=fractional),
        )
    if failure.status == _CREDENTIALS_WANTED:
        fields.add('WWW-Authenticate', 'Basic realm="hillfield"')
    return fields


def render_start(status: int) -> ResponseStartLine:
    """Return the start line of an answer."""
    return ResponseStartLine('HTTP/1.1', status, reason_of(status))


def render_message(failure: RequestFailure, request: str = '') -> bytes:
    """Return the bytes of a failure answer that ends its connection."""
    body = render_body(failure, request)
    fields = list_fields(failure, request, len(body))
    fields.add('Connection', 'close')
    return fields.render(render_status(render_start(failure.status))) + body


def _show_wait(seconds: float, *, fractional: bool) -> str:
    return f'{seconds:.3f}' if fractional else str(math.ceil(seconds))
