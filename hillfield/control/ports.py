"""Interfaces of the node that the control server uses."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from hillfield.announcements import TargetRegistry
from hillfield.clocks import monotonic, read_wall
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
    """Provide the node's state; each method serves one HTTP request."""

    def read_readiness(self) -> Readiness:
        """Return whether the node accepts requests, and if not, why."""

    def explain(self, service: str) -> ServicePage | None:
        """Return the page of a service; None if it is unknown."""

    def list_services(self) -> tuple[str, ...]:
        """Return the services that can be explained."""

    def list_targets(self) -> tuple[Target, ...]:
        """Return all known targets of the fleet."""

    def read_configuration(self) -> ConfigurationPage:
        """Return the state of the configuration."""

    def list_members(self) -> tuple[MemberPage, ...]:
        """Return the nodes of the fleet, this one among them."""

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service that callers here have requested."""

    def list_refused(self) -> tuple[RefusedRequest, ...]:
        """Return the requests that crashed targets."""

    def lift(self, text: str) -> bool:
        """Lift the refusal of a request; False if its fingerprint is unknown.

        `text` is the fingerprint in hexadecimal.
        """


class ControlPorts(Struct, frozen=True):
    """Hold the node's parts that the control server reads or updates."""

    registry: TargetRegistry
    timeline: Timeline
    metrics: NodeMetrics
    view: NodeView
    read_monotonic: Callable[[], float] = monotonic
    read_wall: Callable[[], int] = read_wall
