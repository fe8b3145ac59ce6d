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
from hillfield.proxy.notices import read_keep_alive
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.replies import Reply
from hillfield.proxy.resources import (
    AttemptResources,
    record_answer_head,
    record_stray_answer,
)
from hillfield.proxy.targetconnections import read_answer
from hillfield.routing.requests import ConnectFailed, Observation, Send


class AttemptOwner(Protocol):
    """Owner of the attempts of one request."""

    def handle_overflow(self, attempt: 'Attempt') -> Awaitable[None] | None:
        """Forward an answer that exceeds the buffer limit, or reject it."""

    def handle_end(self, attempt: 'Attempt', observation: Observation) -> None:
        """Process the end of the attempt."""

    def handle_error(self, error: Exception) -> None:
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
        planned: PlannedRequest,
        resources: AttemptResources,
        owner: AttemptOwner,
    ) -> None:
        """Prepare the attempt; nothing is sent yet."""
        super().__init__(send, planned, resources)
        self.reported = False
        self.reply: Reply | None = None
        self.answer = IncomingAnswer(
            planned.plan.checks,
            planned.start_line.method,
            resources.settings.targets,
            planned.forwarding.request,
        )
        self.owner = owner

    def begin(self) -> None:
        """Send immediately if a connection is idle; else `run` connects."""
        request = self._planned.forwarding.request
        stream = self._resources.pool.reuse(self.send.target, request)
        if stream is not None:
            self.write_to(stream)

    async def run(self) -> None:
        """Run the attempt; its end is reported to the owner once."""
        try:
            await self._run()
        except Exception as error:
            self.abort()
            self.owner.handle_error(error)

    def abort(self) -> None:
        """End the attempt by closing its connection to the target."""
        self._planned.holder.release_answer(len(self.answer.held))
        self.answer.held.clear()
        super().abort()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Receive the head of an answer, interim or final."""
        if self.ended or not isinstance(start_line, ResponseStartLine):
            return
        if self.answer.receive_head(start_line, headers):
            record_answer_head(self._resources, self.send, headers)
            if not self.answer.has_length():
                self._hold(expired=False)
        elif self.answer.stale:
            request = self._planned.forwarding.request
            record_stray_answer(self._resources, self.send, request, headers)
        elif start_line.code == HTTPStatus.CONTINUE:
            self.send_rest()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Receive a part of the body."""
        if self.reply is not None:
            self._planned.holder.add_answer(len(chunk))
            return self.reply.write_part(chunk)
        if self.ended or self.answer.stale:
            return None
        self.answer.held += chunk
        self._planned.holder.add_answer(len(chunk))
        if len(self.answer.held) <= self._resources.settings.held_answer:
            return None
        return self.owner.handle_overflow(self)

    def finish(self) -> None:
        """Receive the end of the answer."""
        if self.answer.stale:
            return
        if self._stream is not None and self._stream.error is not None:
            detail = str(self._stream.error)
            self.end(self.answer.observe_broken(detail))
        else:
            self.end(self.answer.observe_complete())

    def end(self, observation: Observation) -> None:
        """Report the first end of the attempt to the owner."""
        if self.ended:
            return
        self.ended = True
        self.cancel_keepalive_check()
        sender = self._sender
        if self._stream is not None and sender and not sender.sent:
            # The request is only written in part: the target would read
            # anything that follows on this connection as the rest of it.
            self._stream.close()
        try:
            self.owner.handle_end(self, self.correct_observation(observation))
        except Exception as error:
            self.owner.handle_error(error)

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
            self.end(self.answer.observe_broken(str(error)))
        self.end(self.answer.observe_broken('answer is malformed'))
        sender.stop()
        if sender.sent and self.answer.allows_reuse():
            keep_alive = read_keep_alive(self.answer.headers)
            self._resources.pool.release(self.send.target, stream, keep_alive)
        else:
            stream.close()

    async def _connect(self) -> None:
        connected = await self._resources.pool.connect(self.send.address)
        if connected.is_error():
            self.end(ConnectFailed(connected.error))
        elif self.ended:
            self._resources.pool.release(self.send.target, connected.ok)
        else:
            self.write_to(connected.ok)

    def _hold(self, expired: bool) -> None:
        if self.ended or self.reply is not None:
            return
        if expired and self.answer.can_be_checked():
            self.owner.handle_overflow(self)
            return
        get_running_loop().call_later(
            self._resources.settings.answer_hold,
            run_guarded,
            partial(self._hold, expired=True),
            self.owner.handle_error,
        )
