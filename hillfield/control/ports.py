"""What the control server needs of the node."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from hillfield.clocks import monotonic, read_wall
from hillfield.announcements import TargetRegistry
from hillfield.control.loadpages import ServiceLoad
from hillfield.control.pages import (
    ConfigurationPage,
    MemberPage,
    Readiness,
    ServicePage,
)
from hillfield.control.refusedpages import RefusedRequest
from hillfield.events import Timeline
from hillfield.metrics import NodeMetrics
from hillfield.model import Target


class NodeView(Protocol):
    """Show the node's state; each method is called for one HTTP request."""

    def read_readiness(self) -> Readiness:
        """Tell whether the node takes work, and if not, why."""

    def explain(self, service: str) -> ServicePage | None:
        """Explain a service; None when it isn't known here."""

    def list_services(self) -> tuple[str, ...]:
        """Return the services that can be explained."""

    def list_targets(self) -> tuple[Target, ...]:
        """Return all targets of the fleet that are known here."""

    def read_configuration(self) -> ConfigurationPage:
        """Return the state of the configuration."""

    def list_members(self) -> tuple[MemberPage, ...]:
        """Return the nodes of the fleet, this one among them."""

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return what is known of the room of each service asked for."""

    def list_refused(self) -> tuple[RefusedRequest, ...]:
        """Return the requests under which targets have ended."""

    def lift(self, text: str) -> bool:
        """Let a request through again, by its fingerprint in hexadecimal."""


class ControlPorts(Struct, frozen=True):
    """Hold the node's parts that the control server shows or feeds."""

    registry: TargetRegistry
    timeline: Timeline
    metrics: NodeMetrics
    view: NodeView
    read_monotonic: Callable[[], float] = monotonic
    read_wall: Callable[[], int] = read_wall
