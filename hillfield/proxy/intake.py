"""How much that is new a node takes in one pass of its loop."""

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import Final

from tornado.netutil import bind_sockets

from hillfield.model import Address

# Connections, and requests, taken in one pass: what runs takes some seven passes
# at each node from its send to its answer, and each new request makes one about a
# millisecond long.
TAKEN_AT_ONCE: Final = 2
# Connections that wait in the system's queue for their turn.
MOST_WAITING: Final = 1024

Taker = Callable[[socket], None]


class Intake:
    """Let in requests whose heads have come, in order, a few at a time.

    The load: hundreds come at once. Taken in one pass, none of the answers to
    what runs is read before all of them are parsed and refused, and what runs
    is late with them.
    """

    def __init__(self) -> None:
        """Let in the first ones at once."""
        self._left = TAKEN_AT_ONCE
        self._waiting: deque[Future[None]] = deque()

    async def enter(self) -> None:
        """Return when it is the request's turn."""
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
        """Let in the next ones: a pass has gone by."""
        self._left = TAKEN_AT_ONCE
        while self._waiting and self._left:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._take()


class Acceptor:
    """Listen at an address and hand over connections, a few at a time."""

    def __init__(self, address: Address, take: Taker) -> None:
        """Listen; raises `OSError` when the address can't be had."""
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
        """Take what waits, which a close would reset, and listen no more."""
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
        """Take the next; raises `BlockingIOError` when none waits."""
        with suppress(ConnectionAbortedError):
            link, _ = self._listener.accept()
            self._take(link)
