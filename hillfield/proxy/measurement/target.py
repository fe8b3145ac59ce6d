"""Minimal target: answers each request with one fixed body."""

from asyncio import BaseTransport, Protocol, Transport, get_running_loop
from typing import Final, cast

from hillfield.proxy.measurement.processes import serve_until_eof

BODY_SIZE: Final = 1024
_HEAD_END: Final = b'\r\n\r\n'
_ANSWER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    BODY_SIZE,
    b'a' * BODY_SIZE,
)


class FixedAnswers(Protocol):
    """Server that answers each request whose body is BODY_SIZE bytes long."""

    def __init__(self) -> None:
        """Start without a connection."""
        self._buffer = bytearray()
        self._transport: Transport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(Transport, transport)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 asyncio's
        """Answer each complete request."""
        self._buffer += data
        end = self._buffer.find(_HEAD_END)
        while end >= 0:
            size = end + len(_HEAD_END) + BODY_SIZE
            if len(self._buffer) < size:
                return
            self._buffer = self._buffer[size:]
            if self._transport is not None:
                self._transport.write(_ANSWER)
            end = self._buffer.find(_HEAD_END)


async def serve() -> None:
    """Serve on a free port until standard input ends."""
    server = await get_running_loop().create_server(
        FixedAnswers,
        '127.0.0.1',
        0,
    )
    await serve_until_eof(server.sockets[0].getsockname()[1])
    server.close()
