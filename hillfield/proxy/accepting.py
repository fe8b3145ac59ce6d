"""Connections that wait to be accepted, taken a few at a time."""

from asyncio import get_running_loop
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import Final

from tornado.netutil import bind_sockets

from hillfield.model import Address

# Connections accepted in one pass of the loop: as long as more come, what runs
# is read between. The others wait in the system's queue, of this length.
TAKEN_AT_ONCE: Final = 2
MOST_WAITING: Final = 1024

Taker = Callable[[socket], None]


class Acceptor:
    """Listen at an address and hand over each connection."""

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
