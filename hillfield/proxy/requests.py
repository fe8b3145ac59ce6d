"""Reading of one request from a caller."""

from asyncio import Future
from collections.abc import Awaitable
from functools import partial

from msgspec.structs import replace
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from hillfield.clocks import monotonic
from hillfield.model import Outcome, RequestFailure
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.exchanges import Exchange
from hillfield.proxy.failures import Fault, describe_unexpected
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.plannedrequests import (
    PlannedRequest,
    has_body,
    needs_length,
)
from hillfield.proxy.planning import (
    assign_ids,
    may_run_concurrently,
    plan_request,
    renew_ids,
    reserve_bytes,
)
from hillfield.proxy.replies import Reply


class IncomingRequest(HTTPMessageDelegate):
    """Read one request and start its exchange once it can be sent."""

    def __init__(self, context: ProxyContext, reply: Reply) -> None:
        """Start before the head has arrived."""
        self.reply = reply
        self._context = context
        self._request = ''
        self._body = RequestBody(context.settings.held_body)
        self._refusal: RequestFailure | None = None
        self._planned: PlannedRequest | None = None
        self._exchange: Exchange | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Receive the head; refuse at once a request without a plan.

        A request that must not run concurrently waits until all answers before
        its own are written.
        """
        if not isinstance(start_line, RequestStartLine):
            return None
        self.reply.adapt(start_line, headers, self._context.draining)
        run_guarded(
            partial(self._receive_head, start_line, headers),
            self._handle_error,
        )
        slot = self.reply.slot
        slot.join(self.on_connection_close)
        if self._context.settings.pipeline_depth > 1 and not slot.closing:
            self.reply.writer.concurrent = may_run_concurrently(
                self._planned,
                headers,
            )
        if slot.is_open or self.reply.writer.concurrent:
            run_guarded(partial(self._begin, headers), self._handle_error)
            return None
        return self._begin_in_order(headers)

    def data_received(self, chunk: bytes) -> 'Future[None] | None':
        """Receive a part of the body; the future applies backpressure."""
        consumed = self._body.add(chunk)
        exchange = self._exchange
        if self._planned is None or exchange is None or exchange.closed:
            self._body.discard()
            return None
        self._planned.holder.record_body(self._body.size)
        # A limit that was lowered amid the body counts for the next one.
        settings = self._context.settings
        limit = max(self.reply.body_limit, settings.body_limit)
        if self._body.size > limit:
            _fail_reading(
                exchange,
                Fault.BODY_TOO_LARGE,
                'the body exceeds the size limit',
            )
        elif consumed is not None and not exchange.started:
            self._start_streaming(self._planned, exchange)
        return consumed

    def finish(self) -> None:
        """Receive the end of the request."""
        self._body.end()
        self.reply.connection.set_close_callback(self.on_connection_close)
        self.reply.writer.record_request_end()
        exchange = self._exchange
        if self._refusal is not None:
            self._refuse(self._refusal)
        elif exchange is not None and not exchange.started:
            run_guarded(partial(exchange.start, True), self._handle_error)

    def on_connection_close(self) -> None:
        """Cancel the request after the caller closed the connection."""
        self._body.discard()
        self.reply.slot.clear_buffer()
        if self._planned is not None:
            self._planned.holder.release()
        if self._exchange is not None:
            self._exchange.cancel()

    def refuse(self, failure: RequestFailure) -> RequestFailure | None:
        """Cancel a request whose body is malformed.

        Return the failure to send, or None when an answer has begun.
        """
        exchange = self._exchange
        started = exchange is not None and exchange.started
        if exchange is not None:
            exchange.cancel()
        if self.reply.begun:
            return None
        self.reply.begun = True
        if started:
            return replace(failure, outcome=Outcome.UNKNOWN)
        return failure

    def _receive_head(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        ids = assign_ids(headers, self._context)
        self._request = ids.request
        outcome = plan_request(
            self._context,
            start_line,
            headers,
            self._body,
            ids,
            self.reply.received_at,
        )
        if outcome.is_ok():
            self._planned = outcome.ok
        else:
            self._refusal = outcome.error

    def _begin(self, headers: HTTPHeaders) -> None:
        planned = self._planned
        if planned is not None:
            part_size = self._context.settings.part_size
            self._refusal = reserve_bytes(planned, part_size)
        if planned is not None and self._refusal is None:
            self.reply.writer.holder = planned.holder
            self._exchange = Exchange(self._context, planned, self.reply)
        elif self._refusal is not None and has_body(headers):
            # Tornado must not send 100 Continue after the answer.
            headers.pop('Expect', None)
            self._refuse(self._refusal)

    async def _begin_in_order(self, headers: HTTPHeaders) -> None:
        opened = await self.reply.slot.wait()
        late = (
            self._planned is not None and self._planned.expires <= monotonic()
        )
        if late or not opened:
            self._planned = None
        elif self._planned is not None:
            # Another request may have taken its id while it waited.
            self._planned = renew_ids(self._planned, self._context)
        if not opened:
            self._refusal = None
        elif late:
            self._refusal = Fault.DEADLINE_NOT_RUN.failure(
                'the requests before it on the connection took too long',
            )
        run_guarded(partial(self._begin, headers), self._handle_error)

    def _handle_error(self, error: Exception) -> None:
        if self._exchange is None:
            self._refusal = describe_unexpected(error)
            self._body.discard()
        else:
            self._exchange.handle_error(error)

    def _start_streaming(
        self,
        planned: PlannedRequest,
        exchange: Exchange,
    ) -> None:
        if needs_length(planned):
            _fail_reading(
                exchange,
                Fault.LENGTH_REQUIRED,
                'a body of this size needs a Content-Length',
            )
            return
        self.reply.watch_close(self.on_connection_close)
        run_guarded(partial(exchange.start, False), self._handle_error)

    def _refuse(self, failure: RequestFailure) -> None:
        if self.reply.begun:
            return
        self._context.record_failure(failure, self._request)
        self.reply.fail(failure, self._request)


def _fail_reading(exchange: Exchange, fault: Fault, detail: str) -> None:
    failure = fault.failure(detail)
    if exchange.started:
        failure = replace(failure, outcome=Outcome.UNKNOWN)
    exchange.fail(failure)
