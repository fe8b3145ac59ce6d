"""Values that the metrics read from the node at each scrape."""

from math import nan
from typing import Protocol

from msgspec import Struct


class TargetCount(Struct, frozen=True):
    """Count the targets of one service in one state, as seen by this node."""

    service: str
    state: str
    count: int


class LimitReading(Struct, frozen=True):
    """Count the targets of a service that name a rate limit.

    `rate` is the sum of their limits in requests a second.
    """

    service: str
    targets: int
    rate: float


class RepeatsReading(Struct, frozen=True):
    """Hold what a service's gates have left of its bound on repeats.

    `left` is the mean over the gates in parts of the slack.
    """

    service: str
    left: float


class LinkReading(Struct, frozen=True):
    """Say whether the link to a peer is up; `queued` is in bytes."""

    peer: str
    is_up: bool
    queued: int = 0


class NodeReading(Struct, frozen=True):
    """Hold the present values of all gauges.

    `configuration_age` is seconds since the newest revision was adopted,
    `configuration_unconfirmed` since a reachable node last confirmed the
    entries in the store (NaN: unknown); `connections` counts callers' connections, `in_flight` their requests.
    """

    targets: tuple[TargetCount, ...] = ()
    links: tuple[LinkReading, ...] = ()
    limits: tuple[LimitReading, ...] = ()
    repeats: tuple[RepeatsReading, ...] = ()
    members: int = 0
    configuration_revision: int = 0
    configuration_age: float = 0
    configuration_unconfirmed: float = nan
    timeline_events: int = 0
    connections: int = 0
    in_flight: int = 0
    queued: int = 0


class ReadingSource(Protocol):
    """Read the node's present values; called once per scrape."""

    def read_metrics(self) -> NodeReading:
        """Return the present values."""
