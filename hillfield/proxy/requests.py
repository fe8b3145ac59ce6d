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
from hillfield.proxy.failures import Fault, describe_stray
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.orders import Order, has_body, needs_length
from hillfield.proxy.planning import (
    name_request,
    plan_order,
    rename_order,
    reserve_bytes,
    runs_beside,
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
        self._order: Order | None = None
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
            partial(self._take_head, start_line, headers),
            self._fail_stray,
        )
        turn = self.reply.turn
        turn.join(self.on_connection_close)
        if self._context.settings.pipeline_depth > 1 and not turn.closing:
            self.reply.writer.early = runs_beside(self._order, headers)
        if turn.come or self.reply.writer.early:
            run_guarded(partial(self._begin, headers), self._fail_stray)
            return None
        return self._begin_in_turn(headers)

    def data_received(self, chunk: bytes) -> 'Future[None] | None':
        """Receive a part of the body; the future applies backpressure."""
        taken = self._body.put(chunk)
        exchange = self._exchange
        if self._order is None or exchange is None or exchange.closed:
            self._body.discard()
            return None
        self._order.holder.note_body(self._body.size)
        if self._body.size > self._context.settings.body_limit:
            _fail_reading(
                exchange,
                Fault.BODY_TOO_LARGE,
                'the body exceeds the size limit',
            )
        elif taken is not None and not exchange.started:
            self._start_streaming(self._order, exchange)
        return taken

    def finish(self) -> None:
        """Receive the end of the request."""
        self._body.end()
        self.reply.connection.set_close_callback(self.on_connection_close)
        self.reply.writer.note_read()
        exchange = self._exchange
        if self._refusal is not None:
            self._refuse(self._refusal)
        elif exchange is not None and not exchange.started:
            run_guarded(partial(exchange.start, True), self._fail_stray)

    def on_connection_close(self) -> None:
        """Cancel the request after the caller closed the connection."""
        self._body.discard()
        self.reply.turn.drop()
        if self._order is not None:
            self._order.holder.release()
        if self._exchange is not None:
            self._exchange.leave()

    def refuse(self, failure: RequestFailure) -> RequestFailure | None:
        """Cancel a request whose body is malformed.

        Return the failure to send, or None when an answer has begun.
        """
        exchange = self._exchange
        started = exchange is not None and exchange.started
        if exchange is not None:
            exchange.leave()
        if self.reply.begun:
            return None
        self.reply.begun = True
        if started:
            return replace(failure, outcome=Outcome.UNKNOWN)
        return failure

    def _take_head(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        naming = name_request(headers, self._context)
        self._request = naming.request
        planned = plan_order(
            self._context,
            start_line,
            headers,
            self._body,
            naming,
            self.reply.came,
        )
        if planned.is_ok():
            self._order = planned.ok
        else:
            self._refusal = planned.error

    def _begin(self, headers: HTTPHeaders) -> None:
        order = self._order
        if order is not None:
            part_size = self._context.settings.part_size
            self._refusal = reserve_bytes(order, part_size)
        if order is not None and self._refusal is None:
            self.reply.writer.holder = order.holder
            self._exchange = Exchange(self._context, order, self.reply)
        elif self._refusal is not None and has_body(headers):
            # Tornado must not send 100 Continue after the answer.
            headers.pop('Expect', None)
            self._refuse(self._refusal)

    async def _begin_in_turn(self, headers: HTTPHeaders) -> None:
        came = await self.reply.turn.wait()
        late = self._order is not None and self._order.expires <= monotonic()
        if late or not came:
            self._order = None
        elif self._order is not None:
            # Another request may have taken its id while it waited.
            self._order = rename_order(self._order, self._context)
        if not came:
            self._refusal = None
        elif late:
            self._refusal = Fault.DEADLINE_NOT_RUN.failure(
                'the requests before it on the connection took too long',
            )
        run_guarded(partial(self._begin, headers), self._fail_stray)

    def _fail_stray(self, error: Exception) -> None:
        if self._exchange is None:
            self._refusal = describe_stray(error)
            self._body.discard()
        else:
            self._exchange.note_stray(error)

    def _start_streaming(self, order: Order, exchange: Exchange) -> None:
        if needs_length(order):
            _fail_reading(
                exchange,
                Fault.LENGTH_REQUIRED,
                'a body of this size needs a Content-Length',
            )
            return
        self.reply.watch(self.on_connection_close)
        run_guarded(partial(exchange.start, False), self._fail_stray)

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
