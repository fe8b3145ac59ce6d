"""The control server, called by targets, operators and Prometheus."""

from typing import Any, Final

from tornado.netutil import bind_sockets
from tornado.web import Application

from hillfield.control.answers import NotFound
from hillfield.control.connections import BoundedServer, ConnectionLimits
from hillfield.control.hostaddresses import HostAddresses
from hillfield.control.inquiries import (
    ConfigurationHandler,
    ExplanationHandler,
    HealthHandler,
    MembersHandler,
    MetricsHandler,
    ReadinessHandler,
    TimelineHandler,
)
from hillfield.control.load import LoadHandler
from hillfield.control.plainserver import ignore_request
from hillfield.control.ports import ControlPorts
from hillfield.control.refused import RefusalHandler, RefusedHandler
from hillfield.control.targets import TargetsHandler, WithdrawalHandler
from hillfield.model import Address
from hillfield.settings import NodeSettings

MAXIMUM_BODY: Final = 16384
MAXIMUM_HEAD: Final = 8192
BODY_SECONDS: Final = 5
IDLE_SECONDS: Final = 30

PATHS: Final = (
    ('/healthz', HealthHandler),
    ('/readyz', ReadinessHandler),
    ('/metrics', MetricsHandler),
    ('/v1/targets', TargetsHandler),
    ('/v1/targets/([^/]+)/([^/]+)', WithdrawalHandler),
    ('/v1/timeline', TimelineHandler),
    ('/v1/explain/([^/]+)', ExplanationHandler),
    ('/v1/configuration', ConfigurationHandler),
    ('/v1/members', MembersHandler),
    ('/v1/load', LoadHandler),
    ('/v1/refused', RefusedHandler),
    ('/v1/refused/([0-9a-f]+)', RefusalHandler),
)


class ControlServer:
    """Serve the control address of one node."""

    def __init__(self, settings: NodeSettings, ports: ControlPorts) -> None:
        """Prepare the paths; `start` opens the socket."""
        self._settings = settings
        host_addresses = HostAddresses(settings)
        parts = {
            'settings': settings,
            'ports': ports,
            'host_addresses': host_addresses,
        }
        self.connections = BoundedServer(
            make_application(parts),
            max_body_size=MAXIMUM_BODY,
            max_header_size=MAXIMUM_HEAD,
            body_timeout=BODY_SECONDS,
            idle_connection_timeout=IDLE_SECONDS,
        )
        self.connections.bound = ConnectionLimits(host_addresses)

    def start(self) -> Address:
        """Listen, and return the address with the port that was bound.

        Raises `OSError` if the address can't be bound.
        """
        wanted = self._settings.listen.control
        sockets = bind_sockets(wanted.port, wanted.ip)
        self.connections.add_sockets(sockets)
        return Address(wanted.ip, sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        self.connections.stop()
        await self.connections.close_all_connections()


def make_application(parts: dict[str, Any]) -> Application:
    """Return the application with all paths."""
    return Application(
        [(path, page_handler, parts) for path, page_handler in PATHS],
        default_handler_class=NotFound,
        default_handler_args=parts,
        log_function=ignore_request,
    )
