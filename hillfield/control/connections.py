"""Limits on the connections to the control address."""

from typing import Any, Final

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from hillfield.control.hostaddresses import HostAddresses

MAXIMUM_LOCAL: Final = 512
MAXIMUM_REMOTE: Final = 128


class ConnectionLimits:
    """Count connections from this host and from other hosts separately.

    Connections from other hosts have their own limit, so that the targets of
    this host can announce themselves however many there are.
    """

    def __init__(self, host_addresses: HostAddresses) -> None:
        """Start without connections."""
        self.counted: dict[object, bool] = {}
        self._host_addresses = host_addresses

    def admit(self, connection: object, ip: str) -> bool:
        """Count a connection; False if the limit of its origin is reached."""
        is_local = self._host_addresses.check_sender(ip) is None
        maximum = MAXIMUM_LOCAL if is_local else MAXIMUM_REMOTE
        if list(self.counted.values()).count(is_local) >= maximum:
            return False
        self.counted[connection] = is_local
        return True

    def release(self, connection: object) -> None:
        """Remove a connection from the count."""
        self.counted.pop(connection, None)


class BoundedServer(HTTPServer):
    """Close new connections beyond `bound`, which is set before it listens."""

    bound: ConnectionLimits

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it beyond the limit."""
        if self.bound.admit(stream, address[0]):
            super().handle_stream(stream, address)
        else:
            stream.close()

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection from the count."""
        if isinstance(server_conn, HTTP1ServerConnection):
            self.bound.release(server_conn.stream)
        super().on_close(server_conn)
