"""Reported capacity of a service's targets as shown to operators."""

from msgspec import Struct

from hillfield.routing.capacity import ReportedCapacity
from hillfield.routing.loads import TargetLoad
from hillfield.routing.service import ServiceState


class CapacityExplanation(Struct, frozen=True):
    """Show one target's capacity; `age` is the seconds since it was reported.

    `free` and `waiting` count slots and requests at its gate, `held` names the
    work that the gate withholds, `in_flight` counts this node's requests, and
    `rate` is the target's limit in requests a second (None: no limit).
    """

    target: str
    domain: str
    slots: int
    in_flight: int
    free: int
    waiting: int
    held: str
    age: float
    rate: float | None = None


def explain_capacities(
    service: ServiceState, now: float
) -> tuple[CapacityExplanation, ...]:
    """Return the capacity of each target whose gate has reported it."""
    service.selector.adopt(service.detector.rotation())
    service.capacities.has_reports(now)
    known = (
        (load, service.capacities.find(target))
        for target, load in service.selector.loads.items()
    )
    return tuple(
        _explain(now, load, capacity)
        for load, capacity in known
        if capacity is not None
    )


def _explain(
    now: float, load: TargetLoad, capacity: ReportedCapacity
) -> CapacityExplanation:
    target = load.target
    return CapacityExplanation(
        str(target.id),
        target.locality.failure_domain,
        target.slots,
        load.in_flight,
        max(0, capacity.free),
        capacity.waiting,
        capacity.withheld.name.lower(),
        max(0, now - capacity.received_at),
        capacity.rate,
    )
