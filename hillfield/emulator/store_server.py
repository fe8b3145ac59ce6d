"""Serve the store stand-in on an address of this host."""

from socket import AF_INET, AF_INET6, SO_REUSEADDR, SOL_SOCKET, socket
from time import monotonic
from typing import Final

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_handlers import RangeHandler, TransactionHandler
from hillfield.emulator.store_history import HISTORY_LIMIT
from hillfield.emulator.store_lease_handlers import (
    GrantHandler,
    RenewHandler,
    RevokeHandler,
)
from hillfield.emulator.store_state import StoreState
from hillfield.emulator.store_watch_handler import WatchHandler
from hillfield.model import Address

BODY_LIMIT: Final = 2_097_152
BACKLOG: Final = 512
SETTLE_MILLISECONDS: Final = 50
ANY_PORT: Final = Address('127.0.0.1', 0)


class StoreServer:
    """Serve the gateway's calls; needs a running loop."""

    def __init__(
        self,
        listen: Address = ANY_PORT,
        history_limit: int = HISTORY_LIMIT,
    ) -> None:
        """Open nothing yet."""
        self.address = listen
        self.state = StoreState(monotonic, history_limit)
        self._application = build_application(self.state)
        self._server: HTTPServer | None = None
        self._socket: socket | None = None
        self._settling = PeriodicCallback(
            self.state.settle,
            SETTLE_MILLISECONDS,
        )

    def start(self) -> Address:
        """Listen and return the address; a port of 0 is replaced."""
        self._hold_port()
        self._listen()
        self._settling.start()
        return self.address

    async def stop(self) -> None:
        """Close the address and all connections."""
        self._settling.stop()
        await close_connections(self._stop_listening())

    async def set_faults(self, faults: StoreFaults) -> None:
        """Have these faults from now on, and no others."""
        refused = self.state.faults.outage is Outage.REFUSE
        refuses = faults.outage is Outage.REFUSE
        self.state.faults = faults
        self.state.changed.notify_all()
        if refuses and not refused:
            server = self._stop_listening()
            # A bound socket that doesn't listen refuses connections and
            # keeps the port for the time after.
            self._hold_port()
            await close_connections(server)
        elif refused and not refuses:
            self._listen()

    def _hold_port(self) -> None:
        family = AF_INET6 if ':' in self.address.ip else AF_INET
        holder = socket(family)
        holder.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        holder.setblocking(False)
        holder.bind((self.address.ip, self.address.port))
        self.address = Address(self.address.ip, holder.getsockname()[1])
        self._socket = holder

    def _listen(self) -> None:
        if self._socket is None:
            return
        self._socket.listen(BACKLOG)
        # Tornado's server can be stopped only once.
        self._server = HTTPServer(
            self._application,
            max_body_size=BODY_LIMIT,
        )
        self._server.add_sockets([self._socket])

    def _stop_listening(self) -> HTTPServer | None:
        server = self._server
        self._server = None
        if server is not None:
            server.stop()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        return server


async def close_connections(server: HTTPServer | None) -> None:
    """Close all connections of a server that has stopped."""
    if server is not None:
        await server.close_all_connections()


def build_application(state: StoreState) -> Application:
    """Build the gateway's paths."""
    given = {'state': state}
    return Application(
        [
            ('/v3/kv/range', RangeHandler, given),
            ('/v3/kv/txn', TransactionHandler, given),
            ('/v3/lease/grant', GrantHandler, given),
            ('/v3/lease/keepalive', RenewHandler, given),
            ('/v3/lease/revoke', RevokeHandler, given),
            ('/v3/kv/lease/revoke', RevokeHandler, given),
            ('/v3/watch', WatchHandler, given),
        ],
        log_function=be_quiet,
    )


def be_quiet(_: object) -> None:
    """Leave the log to faults."""
