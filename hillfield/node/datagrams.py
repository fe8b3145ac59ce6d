"""A socket for datagrams between nodes."""

import socket
from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Final

from hillfield.model import Address

DATAGRAM_LIMIT: Final = 4096
# Datagrams read before control returns to the event loop.
DATAGRAMS_PER_READ: Final = 64
# Labels of the datagram counter.
SENT: Final = 'sent'
RECEIVED: Final = 'received'

DatagramCounter = Callable[[str, int], None]
# Called with a datagram and the IP address of its sender.
DatagramListener = Callable[[bytes, str], None]


class DatagramSocket:
    """Send and receive datagrams at one port, the same on all hosts."""

    def __init__(self, address: Address, on_datagram: DatagramListener) -> None:
        """Prepare; nothing is opened before `start`."""
        self.counter: DatagramCounter = _count_nothing
        self._address = address
        self._on_datagram = on_datagram
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Open the socket; raises `OSError` if it can't be bound."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind((self._address.ip, self._address.port))
        self._socket = opened
        get_running_loop().add_reader(opened.fileno(), self._receive)

    async def stop(self) -> None:
        """Close the socket."""
        opened = self._socket
        if opened is None:
            return
        self._socket = None
        get_running_loop().remove_reader(opened.fileno())
        opened.close()

    def send(
        self,
        datagram: bytes,
        hosts: Iterable[str],
        direction: str = SENT,
    ) -> None:
        """Send one datagram to each host; failed sends are dropped."""
        if self._socket is None:
            return
        for host in hosts:
            self.counter(direction, 1)
            with suppress(OSError):
                self._socket.sendto(datagram, (host, self._address.port))

    def _receive(self) -> None:
        for _ in range(DATAGRAMS_PER_READ):
            if self._socket is None:
                return
            try:
                datagram, sender = self._socket.recvfrom(DATAGRAM_LIMIT)
            except OSError:
                # No datagram is left; senders repeat lost ones.
                return
            self.counter(RECEIVED, 1)
            self._on_datagram(datagram, sender[0])


def _count_nothing(direction: str, times: int) -> None:
    """Do nothing; the default counter."""
