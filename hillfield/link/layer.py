"""Carry sealed messages between nodes over pynng sockets.

One Pull0 socket listens; each link has its own Push0 socket that dials the
peer. So a link consists of two one-way paths: messages to one peer neither
wait behind those to another nor go to it, a one-way partition affects one
direction only, and each queue is bounded.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.structs import replace
from pynng import (  # type: ignore[import-untyped]  # it has no stubs
    NNGException,
    Pull0,
    Push0,
    TryAgain,
)

from hillfield.link.faults import LinkFaults, PlannedFault
from hillfield.model import Address, parse_address

RECEIVE_QUEUE: Final = 256
RECONNECT_FIRST_MS: Final = 200
RECONNECT_LIMIT_MS: Final = 5000
# Seconds for which a closed link still sends its queued messages.
LINGER_SECONDS: Final = 0.5
# Closed links that may linger at a time.
CLOSING_LIMIT: Final = 64
# Messages received in one turn of the event loop.
RECEIVES_PER_TURN: Final = 64


class LinkSettings(Struct, frozen=True):
    """Settings: the address to listen at, queue and message size limits."""

    listen: Address
    queue_limit: int = 256
    message_limit: int = 1310720
    faults: tuple[PlannedFault, ...] = ()


class LinkError(Struct, frozen=True):
    """Hold the step at which the link layer failed, and the peer."""

    step: str
    peer: str
    detail: str


class LinkCounts(Struct, frozen=True):
    """Counts of messages and bytes."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0


Receiver = Callable[[bytes], None]


class LinkLayer:
    """Own the sockets; runs on the event loop's thread."""

    def __init__(self, settings: LinkSettings, receiver: Receiver) -> None:
        """Create the layer; `open` opens its socket."""
        self.counts = LinkCounts()
        self.faults = LinkFaults(settings.faults)
        self._settings = settings
        self._receiver = receiver
        self._pushes: dict[Address, Push0] = {}
        self._closing: deque[Push0] = deque()
        self._listening: Pull0 | None = None
        self._opened = -inf

    def open(self) -> Result[Address, LinkError]:
        """Listen; return the address with the port that was bound."""
        settings = self._settings
        pull = Pull0(recv_buffer_size=RECEIVE_QUEUE)
        pull.recv_max_size = settings.message_limit
        try:
            listener = pull.listen(f'tcp://{settings.listen}')
        except NNGException as error:
            pull.close()
            return Error(
                LinkError('listen', str(settings.listen), str(error)),
            )
        self._listening = pull
        loop = asyncio.get_running_loop()
        loop.add_reader(pull.recv_fd, self._receive)
        self._opened = loop.time()
        bound = parse_address(str(listener.local_address))
        port = bound.ok.port
        return Ok(Address(settings.listen.ip, port))

    def dial(self, peer: Address) -> None:
        """Open a link, which connects and reconnects in the background.

        Invalid addresses, as sent by faulty peers, are not dialled: messages
        to them count as dropped.
        """
        known = peer in self._pushes
        if known or not peer.port or parse_address(str(peer)).is_error():
            return
        push = Push0(
            send_buffer_size=self._settings.queue_limit,
            reconnect_time_min=RECONNECT_FIRST_MS,
            reconnect_time_max=RECONNECT_LIMIT_MS,
        )
        push.dial(f'tcp://{peer}', block=False)
        self._pushes[peer] = push

    def send(self, peer: Address, sealed: bytes) -> None:
        """Queue a message, or drop it if the queue is full."""
        loop = asyncio.get_running_loop()
        delay = self.faults.find_delay(peer, loop.time() - self._opened)
        if delay == inf:
            self._count_dropped()
        elif delay:
            loop.call_later(delay, self._push, peer, sealed)
        else:
            self._push(peer, sealed)

    def disconnect(self, peer: Address) -> None:
        """Close a link after a short time, in which queued messages are sent."""
        push = self._pushes.pop(peer, None)
        if push is None:
            return
        self._closing.append(push)
        if len(self._closing) > CLOSING_LIMIT:
            self._closing.popleft().close()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, push.close)

    def close(self) -> None:
        """Close all sockets."""
        pull = self._listening
        if pull is not None:
            asyncio.get_running_loop().remove_reader(pull.recv_fd)
            pull.close()
        self._listening = None
        for push in self._pushes.values():
            push.close()
        self._pushes = {}

    def _push(self, peer: Address, sealed: bytes) -> None:
        push = self._pushes.get(peer)
        if push is None:
            self._count_dropped()
            return
        try:
            push.send(sealed, block=False)
        except (TryAgain, NNGException):
            self._count_dropped()
            return
        self.counts = replace(
            self.counts,
            sent=self.counts.sent + 1,
            sent_bytes=self.counts.sent_bytes + len(sealed),
        )

    def _receive(self) -> None:
        """Receive a number of messages; leave the rest to the next turn."""
        pull = self._listening
        if pull is None:
            return
        for _ in range(RECEIVES_PER_TURN):
            try:
                sealed = pull.recv(block=False)
            except (TryAgain, NNGException):
                return
            self.counts = replace(
                self.counts,
                received=self.counts.received + 1,
                received_bytes=self.counts.received_bytes + len(sealed),
            )
            self._receiver(sealed)

    def _count_dropped(self) -> None:
        self.counts = replace(self.counts, dropped=self.counts.dropped + 1)
