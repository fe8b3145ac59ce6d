"""Writing of answers by an emulated target, whole or spoilt on purpose."""

import socket
import struct
from http import HTTPStatus
from typing import Final, cast

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)

from hillfield.emulator.payloads import OUTCOME_HEADER

VERSION: Final = 'HTTP/1.1'
OK: Final = 200
SHED_STATUS: Final = 503
SHED_RETRY_AFTER: Final = '1'
HALF: Final = 2
# A linger of zero seconds makes close() send a reset.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


def find_connection(request: HTTPServerRequest) -> HTTP1Connection:
    """Return the connection that the request came on."""
    return cast(HTTP1Connection, request.connection)


async def send_answer(
    request: HTTPServerRequest,
    body: bytes,
    status: int = OK,
    **headers: str,
) -> None:
    """Send a whole answer; header names are written with underscores."""
    connection = find_connection(request)
    if connection.stream.closed():
        return
    await connection.write_headers(
        ResponseStartLine(VERSION, status, HTTPStatus(status).phrase),
        _make_headers(len(body), headers),
        body,
    )
    connection.finish()


async def send_part(request: HTTPServerRequest, body: bytes) -> None:
    """Send the head and the first half of the body, nothing more."""
    connection = find_connection(request)
    if connection.stream.closed():
        return
    await connection.write_headers(
        ResponseStartLine(VERSION, OK, 'OK'),
        _make_headers(len(body), {}),
        body[: len(body) // HALF],
    )


async def send_shed(request: HTTPServerRequest) -> None:
    """Send the documented refusal: the request did not run."""
    await send_answer(
        request,
        b'shed\n',
        SHED_STATUS,
        Retry_After=SHED_RETRY_AFTER,
        **{OUTCOME_HEADER: 'not-run'},
    )


def cut(request: HTTPServerRequest, *, reset: bool = False) -> None:
    """Close the connection, with a TCP reset if so asked."""
    stream = find_connection(request).stream
    if stream.closed():
        return
    if reset:
        stream.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            RESET_ON_CLOSE,
        )
    stream.close()


def _make_headers(length: int, more: dict[str, str]) -> HTTPHeaders:
    headers = HTTPHeaders({'Content-Length': str(length)})
    for name, text in more.items():
        headers[name.replace('_', '-')] = text
    return headers
