"""Target that echoes a request's chunked body while it arrives."""

from asyncio import StreamReader, StreamWriter, start_server
from typing import Final

from hillfield.proxy.measurement.processes import serve_until_eof

_HEAD_END: Final = b'\r\n\r\n'
_LAST_CHUNK: Final = b'0\r\n\r\n'
_READ_SIZE: Final = 262144
_ANSWER: Final = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


async def serve() -> None:
    """Serve on a free port until standard input ends."""
    server = await start_server(_echo, '127.0.0.1', 0)
    await serve_until_eof(server.sockets[0].getsockname()[1])
    server.close()


async def _echo(reader: StreamReader, writer: StreamWriter) -> None:
    await reader.readuntil(_HEAD_END)
    writer.write(_ANSWER)
    part = b''
    while not part.endswith(_LAST_CHUNK):
        part = await reader.read(_READ_SIZE)
        if not part:
            break
        writer.write(part)
        await writer.drain()
    writer.close()
