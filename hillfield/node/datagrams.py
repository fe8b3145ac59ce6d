"""A socket for datagrams between nodes."""

import socket
from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Final

from hillfield.model import Address

DATAGRAM_LIMIT: Final = 4096
# Datagrams that are taken before the loop goes on with other work.
TAKEN_AT_ONCE: Final = 64
# What datagrams are counted as.
SENT: Final = 'sent'
RECEIVED: Final = 'received'

DatagramCounter = Callable[[str, int], None]
# Takes a datagram and the IP number that it came from.
DatagramTaker = Callable[[bytes, str], None]


class DatagramSocket:
    """Send and take datagrams at one port, the same on all hosts."""

    def __init__(self, address: Address, take: DatagramTaker) -> None:
        """Prepare; nothing is opened before `start`."""
        self.counter: DatagramCounter = _count_nothing
        self._address = address
        self._take = take
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Open the socket; raises `OSError` when it can't be had."""
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
        """Send one datagram to each host; what can't be sent is left out."""
        if self._socket is None:
            return
        for host in hosts:
            self.counter(direction, 1)
            with suppress(OSError):
                self._socket.sendto(datagram, (host, self._address.port))

    def _receive(self) -> None:
        for _ in range(TAKEN_AT_ONCE):
            if self._socket is None:
                return
            try:
                datagram, sender = self._socket.recvfrom(DATAGRAM_LIMIT)
            except OSError:
                # Nothing is left; senders tell again what has been lost.
                return
            self.counter(RECEIVED, 1)
            self._take(datagram, sender[0])


def _count_nothing(direction: str, times: int) -> None:
    """Count nothing: nobody asks."""
