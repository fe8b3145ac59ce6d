"""Carry a store's calls over HTTP, with bodies in JSON."""

from http import HTTPStatus
from typing import Final, TypeVar

import pycurl
from expression import Error, Ok, Result
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode
from msgspec.structs import replace
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from hillfield.events import Journal
from hillfield.store.clients import RenewedClient
from hillfield.store.counters import CallCounts, CallKind
from hillfield.store.ports import StoreError
from hillfield.store.reports import Reports
from hillfield.store.store_settings import StoreSettings

WRITES: Final = frozenset((CallKind.SWAP, CallKind.GRANT, CallKind.REVOKE))
# Answers by which the store says that it did nothing.
NOT_DONE: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
Kind = TypeVar('Kind', bound=Struct)


class Call(Struct, frozen=True):
    """Hold one call; times are seconds, 0 for `timeout`: that of the settings.

    What has not answered within `patience` is asked once more, on a connection
    of its own: a kept one may have fallen silent for good (0: never).
    """

    kind: CallKind
    method: str
    path: str
    body: bytes | None = None
    timeout: float = 0
    patience: float = 0
    fresh: bool = False


class Caller:
    """Send calls by tornado's curl client and read their answers."""

    def __init__(self, settings: StoreSettings, journal: Journal) -> None:
        """Open nothing yet."""
        self.counts = CallCounts()
        self._settings = settings
        self._peer = str(settings.addresses[0])
        self._reports = Reports(journal)
        self._client = RenewedClient(
            settings.concurrent_calls,
            settings.answer_limit,
        )

    async def ask(
        self,
        call: Call,
        kind: type[Kind],
    ) -> Result[Kind, StoreError]:
        """Send a call and read its answer."""
        answer = await self.send(call)
        return answer.bind(lambda whole: self.read(call, whole, kind))

    async def send(self, call: Call) -> Result[HTTPResponse, StoreError]:
        """Send a call; what the store did not do is an error."""
        if not call.patience:
            return await self._send_once(call)
        first = replace(call, timeout=call.patience)
        answer = await self._send_once(first)
        if answer.is_ok() or not answer.error.late:
            return answer
        return await self._send_once(replace(call, fresh=True))

    def read(
        self,
        call: Call,
        answer: HTTPResponse,
        kind: type[Kind],
        expected: int = HTTPStatus.OK,
    ) -> Result[Kind, StoreError]:
        """Read an answer of 200, or of the status that is `expected`."""
        if answer.code == HTTPStatus.GONE:
            return Error(
                StoreError(
                    f'store {call.kind}',
                    self._peer,
                    'the history is gone',
                    compacted=True,
                ),
            )
        if answer.code not in (HTTPStatus.OK, expected):
            return Error(self.fail(call, f'HTTP {answer.code}', sent=False))
        try:
            return Ok(decode(answer.body, type=kind))
        except (DecodeError, ValidationError, ValueError) as wrong:
            error = self.fail(call, str(wrong), sent=True)
            self._reports.note_wrong(error)
            return Error(error)

    def fail(self, call: Call, detail: str, *, sent: bool) -> StoreError:
        """Build and count an error; `sent`: the store may have acted."""
        maybe_done = sent and call.kind in WRITES
        self.counts.note_failed(call.kind, maybe_done=maybe_done)
        return StoreError(f'store {call.kind}', self._peer, detail, maybe_done)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _send_once(self, call: Call) -> Result[HTTPResponse, StoreError]:
        self.counts.note_started(call.kind)
        try:
            with self.counts.calling():
                answer = await self._client.fetch(self._make_request(call))
        except TimeoutError:
            unsaid = self._lose(call, 'no answer, no time-out', sent=True)
            return unsaid.map_error(_note_late)
        except (HTTPClientError, pycurl.error, OSError) as error:
            lost = self._lose(call, str(error), sent=True)
            return lost.map_error(_note_late) if _is_late(error) else lost
        if answer.code in NOT_DONE:
            return self._lose(call, f'HTTP {answer.code}', sent=False)
        if not HTTPStatus.OK <= answer.code < HTTPStatus.INTERNAL_SERVER_ERROR:
            detail = f'HTTP {answer.code} {answer.error}'
            return self._lose(call, detail, sent=True)
        self._reports.note_reached(self._peer)
        return Ok(answer)

    def _make_request(self, call: Call) -> HTTPRequest:
        return HTTPRequest(
            f'http://{self._peer}{call.path}',
            method=call.method,
            body=call.body,
            headers={'Content-Type': 'application/json'},
            connect_timeout=self._settings.connect_timeout,
            request_timeout=call.timeout or self._settings.call_timeout,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_prepare_fresh if call.fresh else _prepare,
        )

    def _lose(
        self,
        call: Call,
        detail: str,
        *,
        sent: bool,
    ) -> Result[HTTPResponse, StoreError]:
        lost = self.fail(call, detail, sent=sent)
        self._reports.note_lost(lost)
        return Error(lost)


def _is_late(error: Exception) -> bool:
    """Tell whether no answer came in time."""
    code = getattr(error, 'errno', None)
    return bool(code == pycurl.E_OPERATION_TIMEDOUT)


def _note_late(error: StoreError) -> StoreError:
    return replace(error, late=True)


def _prepare(transfer: pycurl.Curl) -> None:
    transfer.setopt(pycurl.FRESH_CONNECT, 0)


def _prepare_fresh(transfer: pycurl.Curl) -> None:
    """Open a connection; handles are used again for other calls."""
    transfer.setopt(pycurl.FRESH_CONNECT, 1)
