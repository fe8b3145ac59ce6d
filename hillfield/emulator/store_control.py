"""Tell the store stand-in which faults to have, and read its measurements."""

from http import HTTPStatus

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from hillfield.emulator.store_calls import CallTotal
from hillfield.emulator.store_faults import parse_faults
from hillfield.emulator.store_server import ANY_PORT, StoreServer, be_quiet
from hillfield.model import Address


class Measurement(msgspec.Struct, frozen=True):
    """Hold what clients asked of the store since the start."""

    revision: int
    watches: dict[str, int]
    most_watches: int
    peak: int
    totals: tuple[CallTotal, ...]


class ControlHandler(RequestHandler):
    """Be the base of the control calls."""

    def initialize(self, server: StoreServer) -> None:
        """Take the server."""
        self.server = server


class FaultsHandler(ControlHandler):
    """Read faults by GET and set all of them by PUT."""

    def get(self) -> None:
        """Return the faults."""
        self.finish(msgspec.json.encode(self.server.state.faults))

    async def put(self) -> None:
        """Replace the faults; those not named end."""
        parsed = parse_faults(self.request.body)
        if parsed.is_error():
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(parsed.error)
            return
        await self.server.set_faults(parsed.ok)
        self.finish(msgspec.json.encode(parsed.ok))


class ExpiryHandler(ControlHandler):
    """End leases by POST."""

    def post(self) -> None:
        """End all leases now."""
        self.server.state.expire_all()


class CallsHandler(ControlHandler):
    """Read the measurements by GET."""

    def get(self) -> None:
        """Return the calls by second, kind and client."""
        calls = self.server.state.calls
        measurement = Measurement(
            revision=self.server.state.core.revision,
            watches=dict(calls.watches),
            most_watches=calls.most_watches,
            peak=calls.find_peak(),
            totals=calls.list_totals(),
        )
        self.finish(msgspec.json.encode(measurement))


class ControlListener:
    """Serve the control calls on an address of their own.

    So they can be reached while the store's address refuses connections.
    """

    def __init__(
        self,
        server: StoreServer,
        listen: Address = ANY_PORT,
    ) -> None:
        """Open nothing yet."""
        given = {'server': server}
        self._listen = listen
        self._server = HTTPServer(
            Application(
                [
                    ('/faults', FaultsHandler, given),
                    ('/expire', ExpiryHandler, given),
                    ('/calls', CallsHandler, given),
                ],
                log_function=be_quiet,
            ),
        )

    def start(self) -> Address:
        """Listen and return the address."""
        sockets = bind_sockets(self._listen.port, self._listen.ip)
        self._server.add_sockets(sockets)
        return Address(self._listen.ip, sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the address and all connections."""
        self._server.stop()
        await self._server.close_all_connections()
