"""Show operators what this node knows of its services' room."""

from collections.abc import Iterable
from typing import Final

from hillfield.clocks import monotonic
from hillfield.control.loadpages import DomainLoad, ServiceLoad
from hillfield.routing import DispatcherTable, RoutingExplanation
from hillfield.routing.roomviews import RoomExplanation

HELD_BACK: Final = ('usual', 'all')


def list_loads(table: DispatcherTable) -> tuple[ServiceLoad, ...]:
    """Return what is known of each service, by name."""
    now = monotonic()
    found = map(table.find, sorted(table.services()))
    return tuple(
        make_load(dispatcher.explain(now))
        for dispatcher in found
        if dispatcher is not None
    )


def make_load(routing: RoutingExplanation) -> ServiceLoad:
    """Sum up one service by failure domain.

    >>> from hillfield.routing.roomviews import RoomExplanation
    >>> room = RoomExplanation('t', 'a', 6, 1, 2, 0, 'nothing', 0.5)
    >>> sum_up('a', [room, room]).free
    4
    """
    rooms = routing.rooms
    domains = sorted({room.domain for room in rooms})
    return ServiceLoad(
        routing.service,
        routing.queued,
        sum(load.in_flight for load in routing.loads),
        routing.admitted,
        routing.refused,
        routing.retries,
        routing.unknown,
        max(0, len(routing.loads) - len(rooms)),
        tuple(
            sum_up(name, [room for room in rooms if room.domain == name])
            for name in domains
        ),
    )


def sum_up(domain: str, rooms: Iterable[RoomExplanation]) -> DomainLoad:
    """Return the sums over the targets of one failure domain."""
    listed = tuple(rooms)
    rates = [room.rate for room in listed if room.rate is not None]
    return DomainLoad(
        domain,
        len(listed),
        sum(room.slots for room in listed),
        sum(room.free for room in listed),
        sum(room.waiting for room in listed),
        sum(room.held in HELD_BACK for room in listed),
        max((room.age for room in listed), default=0),
        len(rates),
        sum(rates),
    )
