"""Values of a node's gauges, read at each scrape."""

from collections import Counter
from collections.abc import Iterator
from math import inf, nan
from time import time

from hillfield.clocks import monotonic
from hillfield.fleet.core import Core
from hillfield.fleet.heartbeats import compute_entries_age
from hillfield.metrics import (
    LimitReading,
    LinkReading,
    NodeReading,
    RepeatsReading,
    TargetCount,
)
from hillfield.node.page import NodePage
from hillfield.node.parts import Parts
from hillfield.routing import RoutingExplanation


class NodeGauges:
    """Implement `ReadingSource` over a node's parts."""

    def __init__(self, parts: Parts, page: NodePage) -> None:
        """Read from these parts."""
        self._parts = parts
        self._page = page

    def read_metrics(self) -> NodeReading:
        """Return the present values."""
        parts = self._parts
        core = self._page.core
        digest = parts.replica.digest()
        explained = self._explain_all()
        return NodeReading(
            targets=tuple(count_targets(explained)),
            links=tuple(
                LinkReading(str(link.address), link.up) for link in core.links
            ),
            limits=tuple(sum_limits(explained)),
            repeats=tuple(list_repeats(explained)),
            members=len(core.state_table.alive),
            configuration_revision=digest.newest,
            configuration_age=time() - self._page.adopted_at,
            configuration_unconfirmed=find_unconfirmed(core),
            timeline_events=parts.timeline.count,
            connections=parts.proxy.count_connections(),
            in_flight=parts.proxy.count_requests(),
            queued=sum(routing.queued for routing in explained),
        )

    def _explain_all(self) -> tuple[RoutingExplanation, ...]:
        now = monotonic()
        table = self._parts.table
        found = (table.explain(now, name) for name in table.services())
        return tuple(filter(None, found))


def find_unconfirmed(core: Core) -> float:
    """Return the seconds since the entries were confirmed; NaN if unknown."""
    age = compute_entries_age(core, monotonic())
    return nan if age == inf else age


def count_targets(
    explained: tuple[RoutingExplanation, ...],
) -> Iterator[TargetCount]:
    """Count each service's targets by state."""
    for routing in explained:
        states = Counter(health.state for health in routing.health)
        for state, count in states.items():
            yield TargetCount(routing.service, state, count)


def sum_limits(
    explained: tuple[RoutingExplanation, ...],
) -> Iterator[LimitReading]:
    """Sum up the rate limits of the targets by service, if there are any."""
    for routing in explained:
        reported = (capacity.rate for capacity in routing.rooms)
        rates = [rate for rate in reported if rate is not None]
        if rates:
            yield LimitReading(routing.service, len(rates), sum(rates))


def list_repeats(
    explained: tuple[RoutingExplanation, ...],
) -> Iterator[RepeatsReading]:
    """Return what is left of the bound on repeats, where gates report it."""
    for routing in explained:
        if routing.repeats_left is not None:
            yield RepeatsReading(routing.service, routing.repeats_left)
