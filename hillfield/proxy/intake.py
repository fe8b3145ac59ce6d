"""Limits on the new connections and requests per pass of the event loop."""

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import Final

from tornado.netutil import bind_sockets

from hillfield.model import Address

# Connections, and requests, admitted in one pass: a running request takes about
# seven passes at each node from send to answer, and each new request prolongs
# a pass by about a millisecond.
TAKEN_AT_ONCE: Final = 2
# Backlog of the listening socket: connections that wait to be accepted.
MOST_WAITING: Final = 1024

Taker = Callable[[socket], None]


class Intake:
    """Admit requests whose heads have arrived, in order, a few at a time.

    Hundreds of requests can arrive at once. If all were admitted in one pass,
    no answer to a running request would be read before all of them were
    parsed and refused, and the running requests would be late.
    """

    def __init__(self) -> None:
        """Start with the full number of admissions for this pass."""
        self._left = TAKEN_AT_ONCE
        self._waiting: deque[Future[None]] = deque()

    async def enter(self) -> None:
        """Wait until the request is admitted."""
        if self._left:
            self._take()
            return
        turn = get_running_loop().create_future()
        self._waiting.append(turn)
        await turn

    def _take(self) -> None:
        self._left -= 1
        if not self._left:
            get_running_loop().call_soon(self._renew)

    def _renew(self) -> None:
        """Admit the next waiting requests in a new pass."""
        self._left = TAKEN_AT_ONCE
        while self._waiting and self._left:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._take()


class Acceptor:
    """Listen at an address and pass on connections, a few at a time."""

    def __init__(self, address: Address, take: Taker) -> None:
        """Listen; raises `OSError` when the address is not available."""
        listeners = bind_sockets(address.port, address.ip, backlog=MOST_WAITING)
        self._listener = listeners[0]
        self._take = take
        self.address = Address(address.ip, self._listener.getsockname()[1])
        get_running_loop().add_reader(
            self._listener.fileno(),
            self._accept,
            TAKEN_AT_ONCE,
        )

    def close(self) -> None:
        """Accept waiting connections, which a close would reset, then close."""
        if self._listener.fileno() < 0:
            return
        get_running_loop().remove_reader(self._listener.fileno())
        self._accept(MOST_WAITING)
        self._listener.close()

    def _accept(self, most: int) -> None:
        with suppress(BlockingIOError):
            for _ in range(most):
                self._accept_one()

    def _accept_one(self) -> None:
        """Accept a connection; raises `BlockingIOError` if none waits."""
        with suppress(ConnectionAbortedError):
            link, _ = self._listener.accept()
            self._take(link)
