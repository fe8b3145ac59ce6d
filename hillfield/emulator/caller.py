"""An emulated caller: sends an open-loop load and records each ending."""

import time
from asyncio import create_task, gather, sleep
from typing import Final

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from hillfield.emulator.arrivals import Arrival, draw_arrivals
from hillfield.emulator.caller_settings import CallerSettings
from hillfield.emulator.client import CurlClient
from hillfield.emulator.endings import judge_answer, judge_error
from hillfield.emulator.payloads import (
    LENGTH_HEADER,
    REQUEST_HEADER,
    TOKEN_HEADER,
    fill_request,
)
from hillfield.emulator.records import Call

MOST_CONNECTIONS: Final = 2000
BODILESS: Final = frozenset(('GET', 'HEAD', 'DELETE'))


class Caller:
    """Send requests as the settings say; `calls` holds those that ended."""

    def __init__(self, settings: CallerSettings) -> None:
        """Prepare a client of its own, closed at the end of `run`."""
        self.calls: list[Call] = []
        self._settings = settings
        self._ending = False
        self._client = CurlClient(
            force_instance=True,
            max_clients=MOST_CONNECTIONS,
        )

    async def run(self) -> tuple[Call, ...]:
        """Send the whole load and wait for the last answer."""
        start = time.monotonic()
        arrivals = draw_arrivals(self._settings)
        arrival = next(arrivals, None)
        sent = []
        while arrival and not self._ending:
            await sleep(start + arrival.offset - time.monotonic())
            sent.append(create_task(self.send(arrival)))
            arrival = next(arrivals, None)
        await gather(*sent)
        self.close()
        return tuple(self.calls)

    async def send(self, arrival: Arrival) -> Call:
        """Send one request and record how it ended."""
        started = time.monotonic()
        try:
            answer = await self._client.fetch(
                self._make_request(arrival),
                raise_error=False,
            )
        except HTTPClientError as error:
            call = judge_error(arrival, started, error)
        else:
            call = _judge(arrival, started, answer)
        self.calls.append(call)
        return call

    def end(self) -> None:
        """Let `run` send nothing more and return after the last answer."""
        self._ending = True

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _make_request(self, arrival: Arrival) -> HTTPRequest:
        kind = arrival.kind
        return HTTPRequest(
            f'http://{arrival.node}{kind.path}',
            method=kind.method,
            headers={
                REQUEST_HEADER: arrival.request,
                TOKEN_HEADER: arrival.request,
                LENGTH_HEADER: str(kind.answer_length),
            },
            body=_make_body(arrival),
            auth_username=self._settings.credentials.account or None,
            auth_password=self._settings.credentials.secret,
            request_timeout=self._settings.timeout,
            connect_timeout=self._settings.timeout,
            follow_redirects=False,
            prepare_curl_callback=None if kind.idempotent else _send_once,
        )


def _make_body(arrival: Arrival) -> bytes | None:
    if arrival.kind.method in BODILESS:
        return None
    return fill_request(arrival.request, arrival.kind.body_length)


def _send_once(curl: pycurl.Curl) -> None:
    # The library repeats a request by itself when a kept connection turns
    # out to be closed; a caller must not do so with work that may not
    # repeat.
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _judge(arrival: Arrival, started: float, answer: HTTPResponse) -> Call:
    if isinstance(answer.error, CurlError):
        return judge_error(arrival, started, answer.error)
    return judge_answer(arrival, started, answer)
