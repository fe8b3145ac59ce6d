"""Connection of a caller, with its requests in order."""

import socket
from asyncio import sleep
from typing import Final

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from hillfield.model import RequestFailure
from hillfield.proxy.answers import render_message
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.failures import Fault, describe_unexpected
from hillfield.proxy.ordering import AnswerOrder
from hillfield.proxy.replies import Reply
from hillfield.proxy.requests import IncomingRequest
from hillfield.proxy.slots import RefusalSlot, ResponseSlot
from hillfield.proxy.streams import CallerStream, discard_rest
from hillfield.proxy.timeouts import CallerTimeouts

_LARGEST_BODY: Final = 1_000_000_000_000


class CallerConnection:
    """Server of the requests of one connection, in their order."""

    def __init__(self, sock: socket.socket, context: ProxyContext) -> None:
        """Start with an accepted socket."""
        self.stream = CallerStream(
            sock,
            context.settings,
            self,
            context.intake,
        )
        self._context = context
        self._tuning = HTTP1ConnectionParameters(
            chunk_size=context.settings.part_size,
            max_header_size=context.settings.head_limit,
            max_body_size=_LARGEST_BODY,
        )
        self._order = AnswerOrder(
            context.settings.pipeline_depth,
            context.settings.held_answer,
        )
        self._timeouts = CallerTimeouts(self.stream, context, self._order)
        self._incoming: IncomingRequest | None = None

    async def serve(self) -> None:
        """Serve until either side ends the connection."""
        try:
            await self._serve()
        except (StreamClosedError, UnsatisfiableReadError):
            await discard_rest(self.stream)
        except Exception as error:
            self._context.record_failure(describe_unexpected(error))
        finally:
            self.stream.abandon()
            self._order.cancel_all()

    async def refuse_connection(self) -> None:
        """Refuse the connection unread: the limit of connections is reached."""
        limit = self._context.settings.connection_limit
        self.stream.refuse(
            Fault.CONNECTIONS.failure(
                f'{limit} connections are open',
                retry_after=1,
            ),
        )
        await discard_rest(self.stream)

    def refuse(self, failure: RequestFailure) -> bytes:
        """Return the answer to a malformed message."""
        answer: RequestFailure | None = failure
        if self._incoming is not None:
            answer = self._incoming.refuse(failure)
        self._context.record_failure(failure)
        return b'' if answer is None else render_message(answer)

    def defer(self, answer: bytes) -> bool:
        """Queue a refusal behind earlier answers; return whether it was."""
        answering = (
            self._incoming is not None and self._incoming.reply.slot.is_open
        )
        if answering or not self._order.is_busy():
            return False
        last = RefusalSlot(self.stream, answer)
        self._order.join(last, last.cancel)
        return True

    def close_after_answer(self) -> None:
        """Close the connection after the answer to the last request read."""
        if self._order.close_after_last():
            self.stream.ending = True
        elif self._incoming is not None:
            self._incoming.reply.slot.closing = True

    def is_idle(self) -> bool:
        """Return whether no request is in progress or partly received."""
        return self._timeouts.is_idle()

    def sweep(self, now: float) -> None:
        """End the connection if it timed out; `now` is loop seconds."""
        self._timeouts.sweep(now)

    async def _serve(self) -> None:
        serving = True
        while serving:
            await self._wait_until_accepting()
            connection = HTTP1Connection(
                self.stream,
                is_client=False,
                params=self._tuning,
            )
            reply = Reply(
                connection,
                self.stream,
                self._context.settings.callers,
                ResponseSlot(self.stream, self._order),
            )
            self._incoming = IncomingRequest(self._context, reply)
            self._timeouts.expect_head()
            serving = await connection.read_response(self._incoming)
        await discard_rest(self.stream)

    async def _wait_until_accepting(self) -> None:
        """Wait until pipelined requests and answers are within their limits."""
        stream = self.stream
        while not (self._order.accepts_more() or stream.closed()):
            stream.set_close_callback(self._order.wake)
            await self._order.wait()
            stream.set_close_callback(None)
        if stream.writing():
            await stream.write(b'')
        elif stream.unread:
            await sleep(0)
