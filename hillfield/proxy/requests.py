"""Request of a caller as it comes in."""

from asyncio import Future
from functools import partial

from expression import Error, Ok, Result
from msgspec.structs import replace
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from hillfield.clocks import monotonic
from hillfield.model import Outcome, RequestFailure, RequestPlan
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.exchanges import Exchange
from hillfield.proxy.failures import Fault, describe_stray
from hillfield.proxy.guards import run_guarded
from hillfield.proxy.heads import (
    Passage,
    read_deadline,
    read_path,
    read_request_head,
    read_request_id,
)
from hillfield.proxy.identifiers import find_request_id
from hillfield.proxy.orders import Order, has_body, needs_length
from hillfield.proxy.replies import Reply


class IncomingRequest(HTTPMessageDelegate):
    """Read one request, and start its course once it can be sent."""

    def __init__(self, context: ProxyContext, reply: Reply) -> None:
        """Wait for the head."""
        self.reply = reply
        self._context = context
        self._body = RequestBody(context.settings.held_body)
        self._request = ''
        self._key = ''
        self._refusal: RequestFailure | None = None
        self._order: Order | None = None
        self._exchange: Exchange | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take in the head; refuse at once what can't be planned."""
        if not isinstance(start_line, RequestStartLine):
            return
        self.reply.adapt(start_line, headers, self._context.draining)
        self._key = find_request_id(headers, self._context.takers)
        self._request = self._key
        if self._context.settings.callers.keeps_ids:
            self._request = read_request_id(headers) or self._key
        run_guarded(
            partial(self._take_head, start_line, headers),
            self._fail_stray,
        )

    def data_received(self, chunk: bytes) -> 'Future[None] | None':
        """Take in a part of the body; the future slows the caller down."""
        taken = self._body.put(chunk)
        exchange = self._exchange
        if self._order is None or exchange is None or exchange.closed:
            self._body.discard()
            return None
        if self._body.size > self._context.settings.body_limit:
            self._fail(Fault.BODY_TOO_LARGE, 'the body is over the limit')
        elif taken is not None and not exchange.started:
            self._start_streaming(self._order, exchange)
        return taken

    def finish(self) -> None:
        """Take in the end of the request."""
        self._body.end()
        self.reply.request_read = True
        self.reply.connection.set_close_callback(self.on_connection_close)
        exchange = self._exchange
        if self._refusal is not None:
            self._refuse(self._refusal)
        elif exchange is not None and not exchange.started:
            run_guarded(partial(exchange.start, True), self._fail_stray)

    def on_connection_close(self) -> None:
        """Cancel: the caller has gone."""
        self._body.discard()
        if self._exchange is not None:
            self._exchange.leave()

    def refuse(self, failure: RequestFailure) -> RequestFailure | None:
        """Give up a request whose body is malformed.

        Return the failure to tell, or nothing when an answer has begun.
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
        planned = self._plan(start_line, headers)
        if planned.is_ok():
            self._order = planned.ok
            self._exchange = Exchange(self._context, planned.ok, self.reply)
            return
        self._refusal = planned.error
        if has_body(headers):
            # tornado must not ask for a body after the answer.
            headers.pop('Expect', None)
            self._refuse(planned.error)

    def _fail_stray(self, error: Exception) -> None:
        if self._exchange is None:
            self._refusal = describe_stray(error)
            self._body.discard()
        else:
            self._exchange.note_stray(error)

    def _plan(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> Result[Order, RequestFailure]:
        dialect = self._context.settings.callers
        head = read_request_head(start_line, headers, dialect.key_scheme)
        resolved = self._context.plans.resolve(head)
        if resolved.is_error():
            return Error(resolved.error)
        plan: RequestPlan = resolved.ok
        given = headers.get(dialect.deadline)
        deadline = read_deadline(given, plan.deadline)
        if deadline is None:
            return Error(
                Fault.MALFORMED.failure(
                    f'{dialect.deadline} is not milliseconds',
                ),
            )
        if deadline <= 0:
            return Error(Fault.DEADLINE_NOT_RUN.failure('deadline of 0'))
        return Ok(
            Order(
                start_line._replace(path=read_path(start_line.path)),
                headers,
                self._body,
                plan,
                Passage(
                    self._request,
                    self._key,
                    self._context.settings.node,
                    dialect.removed,
                    dialect.key_scheme,
                ),
                monotonic() + deadline,
            ),
        )

    def _start_streaming(self, order: Order, exchange: Exchange) -> None:
        if needs_length(order):
            self._fail(Fault.LENGTH_REQUIRED, 'give a Content-Length')
            return
        self.reply.watch(self.on_connection_close)
        run_guarded(partial(exchange.start, False), self._fail_stray)

    def _fail(self, fault: Fault, detail: str) -> None:
        failure = fault.failure(detail)
        exchange = self._exchange
        if exchange is None:
            return
        if exchange.started:
            failure = replace(failure, outcome=Outcome.UNKNOWN)
        exchange.fail(failure)

    def _refuse(self, failure: RequestFailure) -> None:
        if self.reply.begun:
            return
        self._context.record_failure(failure, self._request)
        self.reply.fail(failure, self._request)
