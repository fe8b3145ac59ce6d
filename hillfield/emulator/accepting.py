"""Connections of a listening socket, closed so that no request is lost.

What a caller has written before the close, and no byte later, is read: a
request that has come begins, and its caller may believe that it has run.
"""

from asyncio import sleep
from collections.abc import Callable
from contextlib import suppress
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from typing import Final
from weakref import WeakKeyDictionary

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler

# Turns of the loop after which what has come of a request has been read and
# the request has begun; it takes about six.
TURNS_TO_BEGIN: Final = 20
# Connections that wait to be accepted, at the most.
MOST_WAITING: Final = 1024

# Tells whether a request that came on a connection is being served.
IsServing = Callable[[IOStream], bool]


class Accepting:
    """Hand all connections of a socket to a server, until it closes."""

    def __init__(self, listening: socket, server: HTTPServer) -> None:
        """Start to accept."""
        self._listening = listening
        self._server = server
        # How many turns ago something last came on each.
        self._streams: WeakKeyDictionary[IOStream, int] = WeakKeyDictionary()
        self._remove = add_accept_handler(listening, self._accept)

    def has_accepted(self, stream: IOStream) -> bool:
        """Tell whether a connection came by this socket."""
        return stream in self._streams

    async def close(self, is_serving: IsServing) -> None:
        """Refuse new connections, and return once all else is closed.

        A connection is left open while a request on it is being served. No
        other has a byte that nobody has read at the moment of its end.
        """
        self._remove()
        with suppress(BlockingIOError):
            for _ in range(MOST_WAITING):
                self._accept(*self._listening.accept())
        self._listening.close()
        while self._follow(is_serving):
            await sleep(0)

    def _accept(self, link: socket, peer: tuple[str, int]) -> None:
        link.setblocking(False)  # noqa: WPS425 the library's own order
        stream = IOStream(link)
        self._streams[stream] = 0
        self._server.handle_stream(stream, peer)

    def _follow(self, is_serving: IsServing) -> bool:
        """Close what is at rest; tell whether anything may still come."""
        for stream in tuple(self._streams):
            if stream.closed():
                self._streams.pop(stream)
            elif _has_unread(stream):
                self._streams[stream] = 0
            else:
                self._streams[stream] += 1
            turns = self._streams.get(stream, 0)
            if turns > TURNS_TO_BEGIN and not is_serving(stream):
                self._streams.pop(stream)
                stream.close()
        return any(turns <= TURNS_TO_BEGIN for turns in self._streams.values())


def _has_unread(stream: IOStream) -> bool:
    """Tell whether bytes have come that nobody has read."""
    try:
        return bool(stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT))
    except BlockingIOError:
        return False
    except OSError:
        return False
