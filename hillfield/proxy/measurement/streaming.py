"""Memory of a node while a caller streams a large body each way."""

import socket
from threading import Thread
from typing import Final

from msgspec import Struct

from hillfield.proxy.measurement.processes import MeasurementProcess

_BLOCK_SIZE: Final = 65536
_BLOCK: Final = b'x' * _BLOCK_SIZE
_CHUNK: Final = b'%x\r\n%s\r\n' % (len(_BLOCK), _BLOCK)
_LAST_CHUNK: Final = b'0\r\n\r\n'
_READ_SIZE: Final = 262144


class StreamingMeasurement(Struct, frozen=True):
    """Peak memory of the node in kilobytes, and the bytes streamed.

    `warm` is the peak after a first, small transfer.
    """

    sent: int
    received: int
    warm: int
    peak: int


def measure_streaming(blocks: int) -> StreamingMeasurement:
    """Stream `blocks` of 64 KB to a target that echoes them."""
    with MeasurementProcess('echo') as target:
        with MeasurementProcess('node', target.read_line()) as node:
            port = int(node.read_line())
            _stream(port, blocks=4)
            warm = node.ask_usage().memory
            received = _stream(port, blocks)
            peak = node.ask_usage().memory
    return StreamingMeasurement(blocks * _BLOCK_SIZE, received, warm, peak)


def _stream(port: int, blocks: int) -> int:
    with socket.create_connection(('127.0.0.1', port)) as sock:
        writer = Thread(target=_write, args=(sock, blocks))
        writer.start()
        received = _read(sock)
        writer.join()
    return received


def _write(sock: socket.socket, blocks: int) -> None:
    sock.sendall(
        b'POST /echo HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
    )
    for _ in range(blocks):
        sock.sendall(_CHUNK)
    sock.sendall(_LAST_CHUNK)


def _read(sock: socket.socket) -> int:
    received = 0
    part = sock.recv(_READ_SIZE)
    while part:
        received += len(part)
        part = sock.recv(_READ_SIZE)
    return received
