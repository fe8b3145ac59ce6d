"""Connections of a caller, light enough not to be what is measured."""

from asyncio import (
    BaseTransport,
    Future,
    Protocol,
    Transport,
    get_running_loop,
)
from collections import defaultdict, deque
from re import compile as compile_pattern
from typing import Final, cast

from msgspec import Struct

from hillfield.model import Address

HEAD_END: Final = b'\r\n\r\n'
LENGTH: Final = compile_pattern(rb'(?i)\r\ncontent-length: *(\d+)')
RETRY_AFTER: Final = b'\r\nretry-after:'
OUTCOME: Final = compile_pattern(rb'(?i)\r\nhillfield-outcome: *([a-z-]+)')
VERSION: Final = len('HTTP/1.1 ')
STATUS: Final = slice(VERSION, VERSION + len('200'))


class Answer(Struct, frozen=True):
    """Hold what matters of an answer; `outcome` is a node's own word."""

    status: int
    outcome: str
    has_hint: bool


class Connection(Protocol):
    """Send one request at a time."""

    def __init__(self) -> None:
        """Wait for a connection."""
        self.is_open = True
        self._received = bytearray()
        self._transport: Transport | None = None
        self._answered: Future[Answer | None] | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Take over a connection."""
        self._transport = cast(Transport, transport)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 asyncio's
        """Note an answer that has come whole."""
        self._received += data
        end = self._received.find(HEAD_END)
        if end < 0:
            return
        head = bytes(self._received[:end])
        length = LENGTH.search(head)
        body = int(length.group(1)) if length else 0
        if len(self._received) >= end + len(HEAD_END) + body:
            self._received.clear()
            self._settle(read_head(head))

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that no answer comes any more."""
        self.is_open = False
        self._settle(None)

    async def ask(self, request: bytes) -> Answer | None:
        """Return the answer, or None when the connection ended."""
        self._answered = get_running_loop().create_future()
        if self._transport is None or not self.is_open:
            return None
        self._transport.write(request)
        return await self._answered

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _settle(self, answer: Answer | None) -> None:
        if self._answered is not None and not self._answered.done():
            self._answered.set_result(answer)


class Connections:
    """Keep connections to any address and open new ones as needed."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: defaultdict[Address, deque[Connection]] = defaultdict(deque)

    async def ask(self, address: Address, request: bytes) -> Answer | None:
        """Send a request over a free connection."""
        connection = await self._take(address)
        answer = await connection.ask(request)
        if connection.is_open:
            self._idle[address].append(connection)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    async def _take(self, address: Address) -> Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        _, opened = await get_running_loop().create_connection(
            Connection,
            address.ip,
            address.port,
        )
        return opened


def read_head(head: bytes) -> Answer:
    r"""Return what matters of an answer's head.

    >>> read_head(b'HTTP/1.1 503 No\r\nRetry-After: 1')
    Answer(status=503, outcome='', has_hint=True)
    """
    outcome = OUTCOME.search(head)
    return Answer(
        int(head[STATUS]),
        outcome.group(1).decode() if outcome else '',
        RETRY_AFTER in head.lower(),
    )
