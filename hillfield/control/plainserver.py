"""A server for one small address of its own."""

from collections.abc import Sequence
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from hillfield.model import Address

Path = tuple[str, type[RequestHandler], dict[str, Any]]


class PlainServer:
    """Serve a few paths on one address."""

    def __init__(self, address: Address, paths: Sequence[Path]) -> None:
        """Prepare; nothing listens yet."""
        self._address = address
        # Heartbeats would fill the log with a line for each request.
        application = Application(list(paths), log_function=ignore_request)
        self._server = HTTPServer(application)

    def start(self) -> None:
        """Listen; raises `OSError` when the address can't be had."""
        self._server.listen(self._address.port, self._address.ip)

    async def stop(self) -> None:
        """Listen no more and end what is open."""
        self._server.stop()
        await self._server.close_all_connections()


def ignore_request(request: object) -> None:
    """Write no line for each request: heartbeats would fill the log."""
