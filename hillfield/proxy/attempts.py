"""One attempt: a request on one connection to one target."""

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
    """Own the attempts of one request."""

    def note_overflow(self, attempt: 'Attempt') -> Awaitable[None] | None:
        """Decide on an answer that is too large to be held whole."""

    def note_ended(self, attempt: 'Attempt', observation: Observation) -> None:
        """Note how the attempt ended."""

    def note_stray(self, error: Exception) -> None:
        """Note an error that nobody expected."""


class Attempt(Handover):
    """Send a request and take in its answer.

    `reported` tells that the dispatcher has been told of the end already,
    `relay` where the answer goes to once it is relayed in parts.
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
        """Send at once if a connection is idle; `run` does what is left."""
        stream = self._tools.pool.reuse(self.send.target)
        if stream is not None:
            self.hand_over(stream)

    async def run(self) -> None:
        """Make the attempt; its end is told to the owner once."""
        try:
            await self._run()
        except Exception as error:
            self.cut()
            self.owner.note_stray(error)

    def cut(self) -> None:
        """End the attempt now; the target sees the connection close."""
        self._order.holder.drop_answer(len(self.answer.held))
        self.answer.held.clear()
        super().cut()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take in the head of an answer, interim or final."""
        if self.ended or not isinstance(start_line, ResponseStartLine):
            return
        if self.answer.take_head(start_line, headers):
            note_head(self._tools, self.send, headers)
            if not self.answer.has_length():
                self._hold(expired=False)
        elif start_line.code == HTTPStatus.CONTINUE:
            self.go_on()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take in a part of the body."""
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
        """Take in the end of the answer."""
        if self.answer.stray:
            return
        if self._stream is not None and self._stream.error is not None:
            detail = str(self._stream.error)
            self.end(self.answer.judge_broken(detail))
        else:
            self.end(self.answer.judge_whole())

    def end(self, observation: Observation) -> None:
        """Note the end, once; the owner is told."""
        if self.ended:
            return
        self.ended = True
        self.expect_nothing()
        sender = self._sender
        if self._stream is not None and sender and not sender.sent:
            # The request is not all written: what follows on this
            # connection could not be told from the rest of it.
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
