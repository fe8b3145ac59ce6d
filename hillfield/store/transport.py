"""Carry gateway calls over HTTP by tornado's curl client."""

from http import HTTPStatus
from typing import Final

import pycurl
from expression import Error, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from hillfield.events import Journal
from hillfield.store.calls import READS, Answer, Call, Dispatch
from hillfield.store.clients import ClosableClient
from hillfield.store.counters import CallCounts
from hillfield.store.ports import StoreError
from hillfield.store.reports import Reports
from hillfield.store.route import Route
from hillfield.store.store_settings import StoreSettings
from hillfield.store.wire import MessageKind, decode_message, read_refusal

# A client error says that the store did not take the request.
CERTAIN_REFUSALS: Final = range(
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.INTERNAL_SERVER_ERROR,
)
NO_ADDRESS: Final = 'no address of a store is set'


class Transport:
    """Send calls to one address after another."""

    def __init__(self, settings: StoreSettings, journal: Journal) -> None:
        """Open nothing yet."""
        self.settings = settings
        self._reports = Reports(journal)
        self.counts = CallCounts()
        self.route = Route(settings.addresses)
        self._client = ClosableClient(
            force_instance=True,
            max_clients=settings.concurrent_calls,
            max_body_size=settings.answer_limit,
        )

    def build_request(self, call: Call, dispatch: Dispatch) -> HTTPRequest:
        """Build the request of a call."""
        peer = self.route.peer
        return HTTPRequest(
            f'http://{peer}{call.path}',
            method='POST',
            body=dispatch.body,
            headers={'Content-Type': 'application/json'},
            user_agent=self.settings.client,
            connect_timeout=self.settings.connect_timeout,
            request_timeout=self.settings.call_timeout,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=dispatch.prepare,
        )

    def fail(
        self,
        call: Call,
        peer: str,
        detail: str,
        *,
        sent: bool,
    ) -> StoreError:
        """Build and count an error; `sent`: the store may have acted."""
        maybe_done = sent and call.kind not in READS
        self.counts.note_failed(call.kind, maybe_done=maybe_done)
        error = StoreError(call.step, peer, detail, maybe_done)
        if maybe_done:
            self._reports.note_doubt(error)
        return error

    def reject(self, call: Call, peer: str, detail: str) -> StoreError:
        """Build the error of an answer that can't be read."""
        error = self.fail(call, peer, detail, sent=True)
        self._reports.note_wrong(error)
        return error

    async def send(self, call: Call) -> Result[Answer, StoreError]:
        """Send a call and return its whole answer, also a refusal."""
        if not self.settings.addresses:
            return Error(self.fail(call, '', NO_ADDRESS, sent=False))
        if self.counts.calls_in_flight >= self.settings.concurrent_calls:
            detail = 'too many calls at once'
            return Error(self.fail(call, '', detail, sent=False))
        self.counts.note_started(call.kind)
        tries = self.settings.read_tries if call.kind in READS else 1
        with self.counts.calling():
            return await self._repeat(call, tries)

    async def ask(
        self,
        call: Call,
        kind: type[MessageKind],
    ) -> Result[MessageKind, StoreError]:
        """Send a call and decode its answer; a refusal is an error."""
        answer = await self.send(call)
        return answer.bind(lambda whole: self.decode(call, whole, kind))

    def decode(
        self,
        call: Call,
        answer: Answer,
        kind: type[MessageKind],
    ) -> Result[MessageKind, StoreError]:
        """Decode an answer; a refused write has certainly not happened."""
        if answer.refusal.code:
            detail = answer.refusal.text
            error = self.fail(call, answer.peer, detail, sent=False)
            self._reports.note_wrong(error)
            return Error(error)
        return decode_message(kind, answer.body).map_error(
            lambda detail: self.reject(call, answer.peer, detail),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _repeat(
        self,
        call: Call,
        tries: int,
    ) -> Result[Answer, StoreError]:
        answer = await self._exchange(call)
        if answer.is_ok() or tries <= 1:
            return answer
        self.counts.note_started(call.kind)
        return await self._repeat(call, tries - 1)

    async def _exchange(self, call: Call) -> Result[Answer, StoreError]:
        dispatch = Dispatch(call)
        request = self.build_request(call, dispatch)
        peer = str(self.route.peer)
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, pycurl.error) as error:
            detail = describe_failure(error)
            lost = self.fail(call, peer, detail, sent=dispatch.sent)
            return self._lose(lost)
        return self._judge(call, peer, response)

    def _judge(
        self,
        call: Call,
        peer: str,
        response: HTTPResponse,
    ) -> Result[Answer, StoreError]:
        if response.code == HTTPStatus.OK:
            self._reports.note_reached(peer)
            return Ok(Answer(peer, response.body))
        refusal = read_refusal(response.body)
        if response.code < HTTPStatus.INTERNAL_SERVER_ERROR and refusal.code:
            return Ok(Answer(peer, response.body, refusal))
        detail = f'HTTP {response.code} {refusal.text}'
        sent = response.code not in CERTAIN_REFUSALS
        return self._lose(self.fail(call, peer, detail, sent=sent))

    def _lose(self, error: StoreError) -> Result[Answer, StoreError]:
        self.route.turn()
        self._reports.note_lost(error)
        return Error(error)


def describe_failure(error: BaseException) -> str:
    """Return what went wrong, for people."""
    # An HTTP error's own text starts with a status that no store has sent.
    return getattr(error, 'message', None) or str(error)
