"""Pages for operators on the capacity of services."""

from collections.abc import Iterable
from typing import Final

from hillfield.clocks import monotonic
from hillfield.control.loadpages import DomainLoad, ServiceLoad
from hillfield.routing import DispatcherTable, RoutingExplanation
from hillfield.routing.capacityviews import CapacityExplanation

WITHHELD: Final = ('usual', 'all')


def list_loads(table: DispatcherTable) -> tuple[ServiceLoad, ...]:
    """Return the load of each service, sorted by name."""
    now = monotonic()
    found = map(table.find, sorted(table.services()))
    return tuple(
        make_load(dispatcher.explain(now))
        for dispatcher in found
        if dispatcher is not None
    )


def make_load(routing: RoutingExplanation) -> ServiceLoad:
    """Sum up one service by failure domain.

    >>> from hillfield.routing.capacityviews import CapacityExplanation
    >>> capacity = CapacityExplanation('t', 'a', 6, 1, 2, 0, 'nothing', 0.5)
    >>> sum_up('a', [capacity, capacity]).free
    4
    """
    capacities = routing.rooms
    domains = sorted({capacity.domain for capacity in capacities})
    return ServiceLoad(
        routing.service,
        routing.queued,
        sum(load.in_flight for load in routing.loads),
        routing.admitted,
        routing.refused,
        routing.retries,
        routing.unknown,
        max(0, len(routing.loads) - len(capacities)),
        tuple(
            sum_up(
                name,
                [
                    capacity
                    for capacity in capacities
                    if capacity.domain == name
                ],
            )
            for name in domains
        ),
    )


def sum_up(
    domain: str, capacities: Iterable[CapacityExplanation]
) -> DomainLoad:
    """Return the sums over the targets of one failure domain."""
    listed = tuple(capacities)
    rates = [capacity.rate for capacity in listed if capacity.rate is not None]
    return DomainLoad(
        domain,
        len(listed),
        sum(capacity.slots for capacity in listed),
        sum(capacity.free for capacity in listed),
        sum(capacity.waiting for capacity in listed),
        sum(capacity.held in WITHHELD for capacity in listed),
        max((capacity.age for capacity in listed), default=0),
        len(rates),
        sum(rates),
    )
