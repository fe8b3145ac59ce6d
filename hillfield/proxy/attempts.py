"""One attempt to send a request over one connection to one target."""

from asyncio import get_running_loop
from collections.abc import Awaitable
from functools import partial
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from hillfield.proxy.guards import run_guarded
from hillfield.proxy.handover import Handover
from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.notices import read_kept
from hillfield.proxy.orders import Order
from hillfield.proxy.replies import Reply
from hillfield.proxy.targetlinks import read_answer
from hillfield.proxy.tools import AttemptTools, note_head
from hillfield.routing.requests import ConnectFailed, Observation, Send


class AttemptOwner(Protocol):
    """Owner of the attempts of one request."""

    def note_overflow(self, attempt: 'Attempt') -> Awaitable[None] | None:
        """Forward an answer that exceeds the buffer limit, or reject it."""

    def note_ended(self, attempt: 'Attempt', observation: Observation) -> None:
        """Process the end of the attempt."""

    def note_stray(self, error: Exception) -> None:
        """Process an unexpected error."""


class Attempt(Handover):
    """Send a request and receive its answer.

    `reported`: the end has been reported to the dispatcher already;
    `reply`: where the answer is forwarded to once it is sent in parts.
    """

    owner: AttemptOwner

    def __init__(
        self,
        send: Send,
        order: Order,
        tools: AttemptTools,
        owner: AttemptOwner,
    ) -> None:
        """Prepare the attempt; nothing is sent yet."""
        super().__init__(send, order, tools)
        self.reported = False
        self.relay: Reply | None = None
        self.answer = IncomingAnswer(
            order.plan.checks,
            order.start_line.method,
            tools.settings.targets,
            order.passage.request,
        )
        self.owner = owner

    def begin(self) -> None:
        """Send immediately if a connection is idle; else `run` connects."""
        stream = self._tools.pool.reuse(self.send.target)
        if stream is not None:
            self.hand_over(stream)

    async def run(self) -> None:
        """Run the attempt; its end is reported to the owner once."""
        try:
            await self._run()
        except Exception as error:
            self.cut()
            self.owner.note_stray(error)

    def cut(self) -> None:
        """End the attempt by closing its connection to the target."""
        self._order.holder.drop_answer(len(self.answer.held))
        self.answer.held.clear()
        super().cut()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Receive the head of an answer, interim or final."""
        if self.ended or not isinstance(start_line, ResponseStartLine):
            return
        if self.answer.take_head(start_line, headers):
            note_head(self._tools, self.send, headers)
            if not self.answer.has_length():
                self._hold(expired=False)
        elif start_line.code == HTTPStatus.CONTINUE:
            self.go_on()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Receive a part of the body."""
        if self.relay is not None:
            self._order.holder.add_answer(len(chunk))
            return self.relay.write_part(chunk)
        if self.ended or self.answer.stray:
            return None
        self.answer.held += chunk
        self._order.holder.add_answer(len(chunk))
        if len(self.answer.held) <= self._tools.settings.held_answer:
            return None
        return self.owner.note_overflow(self)

    def finish(self) -> None:
        """Receive the end of the answer."""
        if self.answer.stray:
            return
        if self._stream is not None and self._stream.error is not None:
            detail = str(self._stream.error)
            self.end(self.answer.judge_broken(detail))
        else:
            self.end(self.answer.judge_whole())

    def end(self, observation: Observation) -> None:
        """Report the first end of the attempt to the owner."""
        if self.ended:
            return
        self.ended = True
        self.expect_nothing()
        sender = self._sender
        if self._stream is not None and sender and not sender.sent:
            # The request is only written in part: the target would read
            # anything that follows on this connection as the rest of it.
            self._stream.close()
        try:
            self.owner.note_ended(self, self.correct(observation))
        except Exception as error:
            self.owner.note_stray(error)

    async def _run(self) -> None:
        if self._stream is None and not self.ended:
            await self._connect()
        stream = self._stream
        sender = self._sender
        if stream is None or sender is None:
            return
        try:
            await read_answer(self, sender.connection, stream)
        except (StreamClosedError, UnsatisfiableReadError) as error:
            self.end(self.answer.judge_broken(str(error)))
        self.end(self.answer.judge_broken('answer is malformed'))
        sender.stop()
        if sender.sent and self.answer.allows_reuse():
            kept = read_kept(self.answer.headers)
            self._tools.pool.release(self.send.target, stream, kept)
        else:
            stream.close()

    async def _connect(self) -> None:
        connected = await self._tools.pool.connect(self.send.address)
        if connected.is_error():
            self.end(ConnectFailed(connected.error))
        elif self.ended:
            self._tools.pool.release(self.send.target, connected.ok)
        else:
            self.hand_over(connected.ok)

    def _hold(self, expired: bool) -> None:
        if self.ended or self.relay is not None:
            return
        if expired and self.answer.is_decidable():
            self.owner.note_overflow(self)
            return
        get_running_loop().call_later(
            self._tools.settings.answer_hold,
            run_guarded,
            partial(self._hold, expired=True),
            self.owner.note_stray,
        )
