"""Connections of all callers of one node."""

import socket
from asyncio import (
    Event,
    Task,
    create_task,
    get_running_loop,
    sleep,
    timeout,
)
from typing import Final

from hillfield.events import EventCode, Occurrence
from hillfield.model import Address
from hillfield.proxy.callers import CallerConnection
from hillfield.proxy.context import ProxyContext

_MAX_REFUSALS: Final = 64
# Seconds to send the answers to requests that could not be finished: after an
# immediate reset their callers would get no answer.
_FINAL_ANSWER_SECONDS: Final = 0.1


class CallerConnections:
    """Accept connections up to a limit, and serve them to their ends."""

    def __init__(self, context: ProxyContext) -> None:
        """Start without connections."""
        self.tasks: dict[CallerConnection, Task[None]] = {}
        self._context = context
        self._empty = Event()

    def accept(self, sock: socket.socket) -> None:
        """Serve a connection, or refuse it when there are too many."""
        count = len(self.tasks)
        limit = self._context.settings.connection_limit
        if count >= limit + _MAX_REFUSALS:
            sock.close()
            return
        connection = CallerConnection(sock, self._context)
        if count >= limit:
            task = create_task(connection.refuse_connection())
        else:
            task = create_task(connection.serve())
        self.tasks[connection] = task
        task.add_done_callback(lambda _: self._forget(connection))

    def adopt_settings(self) -> None:
        """Apply changed settings to the connections that are open."""
        for connection in self.tasks:
            connection.stream.adopt(self._context.settings)

    def sweep(self, now: float) -> None:
        """End connections that timed out; `now` is in loop seconds."""
        for connection in tuple(self.tasks):
            connection.sweep(now)

    async def drain(self) -> None:
        """Wait until each connection has ended after its current request.

        Idle ones get a grace period, in which a request that was already sent
        is still served.
        """
        settings = self._context.settings
        for connection in self.tasks:
            connection.close_after_answer()
        idle_timer = get_running_loop().call_later(
            settings.drain_grace,
            self._end_idle,
        )
        try:
            async with timeout(settings.drain_timeout):
                await self._wait_until_empty()
        except TimeoutError:
            record_overrun(self._context, settings.drain_timeout)
            self._context.expire_all()
            await sleep(_FINAL_ANSWER_SECONDS)
            self.abandon()
        idle_timer.cancel()

    def abandon(self) -> None:
        """Reset all connections."""
        for connection in tuple(self.tasks):
            connection.stream.reset()

    async def _wait_until_empty(self) -> None:
        while self.tasks:
            self._empty.clear()
            await self._empty.wait()

    def _forget(self, connection: CallerConnection) -> None:
        self.tasks.pop(connection, None)
        if not self.tasks:
            self._empty.set()

    def _end_idle(self) -> None:
        for connection in tuple(self.tasks):
            if connection.is_idle():
                connection.stream.close()


def record_drain(
    context: ProxyContext,
    address: Address,
    connections: int,
) -> None:
    """Record that a server stops listening, and what it still has."""
    requests = len(context.in_flight)
    detail = f'{address}: {connections} connections, {requests} requests'
    context.journal.record(
        Occurrence(EventCode.SERVER_DRAINING, detail=detail),
    )


def record_overrun(context: ProxyContext, seconds: float) -> None:
    """Record the requests that are ended after this many seconds of a drain."""
    requests = len(context.in_flight)
    if requests:
        detail = f'{requests} requests after {seconds:.1f} s'
        context.journal.record(
            Occurrence(EventCode.DRAIN_OVERRUN, detail=detail),
        )
