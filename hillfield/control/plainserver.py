"""A small HTTP server on a separate address."""

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
        application = Application(list(paths), log_function=ignore_request)
        self._server = HTTPServer(application)

    def start(self) -> None:
        """Listen; raises `OSError` if the address can't be bound."""
        self._server.listen(self._address.port, self._address.ip)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def ignore_request(request: object) -> None:
    """Write no log line for a request: heartbeats would fill the log."""
