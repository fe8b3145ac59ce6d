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
ADMITTED_PER_PASS: Final = 2
# Backlog of the listening socket: connections that wait to be accepted.
LISTEN_BACKLOG: Final = 1024

ConnectionCallback = Callable[[socket], None]


class Intake:
    """Admit requests whose heads have arrived, in order, a few at a time.

    Hundreds of requests can arrive at once. If all were admitted in one pass,
    no answer to a running request would be read before all of them were
    parsed and refused, and the running requests would be late.
    """

    def __init__(self) -> None:
        """Start with the full number of admissions for this pass."""
        self._remaining = ADMITTED_PER_PASS
        self._waiting: deque[Future[None]] = deque()

    async def enter(self) -> None:
        """Wait until the request is admitted."""
        if self._remaining:
            self._admit()
            return
        admission = get_running_loop().create_future()
        self._waiting.append(admission)
        await admission

    def _admit(self) -> None:
        self._remaining -= 1
        if not self._remaining:
            get_running_loop().call_soon(self._start_pass)

    def _start_pass(self) -> None:
        """Admit the next waiting requests in a new pass."""
        self._remaining = ADMITTED_PER_PASS
        while self._waiting and self._remaining:
            admission = self._waiting.popleft()
            if not admission.done():
                admission.set_result(None)
                self._admit()


class Acceptor:
    """Listen at an address and pass on connections, a few at a time."""

    def __init__(
        self,
        address: Address,
        on_connection: ConnectionCallback,
    ) -> None:
        """Listen; raises `OSError` when the address is not available."""
        listeners = bind_sockets(
            address.port,
            address.ip,
            backlog=LISTEN_BACKLOG,
        )
        self._listener = listeners[0]
        self._on_connection = on_connection
        self.address = Address(address.ip, self._listener.getsockname()[1])
        get_running_loop().add_reader(
            self._listener.fileno(),
            self._accept,
            ADMITTED_PER_PASS,
        )

    def close(self) -> None:
        """Accept waiting connections, which a close would reset, then close."""
        if self._listener.fileno() < 0:
            return
        get_running_loop().remove_reader(self._listener.fileno())
        self._accept(LISTEN_BACKLOG)
        self._listener.close()

    def _accept(self, most: int) -> None:
        with suppress(BlockingIOError):
            for _ in range(most):
                self._accept_one()

    def _accept_one(self) -> None:
        """Accept a connection; raises `BlockingIOError` if none waits."""
        with suppress(ConnectionAbortedError):
            sock, _ = self._listener.accept()
            self._on_connection(sock)
