"""Selection of targets by the free capacity that their gates report.

Bytes between failure domains are expensive, and the targets of the own failure
domain may be full: a request leaves its failure domain only if a slot is known
or likely to be free elsewhere, and waiting nearby would make its answer late.
Targets of the own failure domain are called near.
"""

from hillfield.model import Target, TargetId
from hillfield.routing.capacity import ReportedCapacity
from hillfield.routing.records import RequestRecord
from hillfield.routing.service import ServiceState


def select_target(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...] = (),
) -> Target | None:
    """Return the target for the next attempt; None if none can take it."""
    trial = service.can_be_trial(record)
    if not service.capacities.has_reports(now):
        return service.choose(now, excluded, trial=trial)
    service.selector.adopt(service.detector.rotation())
    if trial:
        found = _select_trial_target(service, now, excluded)
        if found is not None:
            return found
    return _select_with_capacity(service, now, record, excluded)


def select_hedge_target(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Target | None:
    """Return a target with a free slot for a hedge, near ones first."""
    if not service.capacities.has_reports(now):
        return service.choose(now, record.tried)
    withholding = service.list_withholding(now, record)
    without_slot = (
        *record.tried,
        *withholding,
        *service.capacities.list_full(now),
    )
    choose = service.selector.choose
    return choose(now, without_slot, near=True) or choose(now, without_slot)


def _select_trial_target(
    service: ServiceState,
    now: float,
    excluded: tuple[TargetId, ...],
) -> Target | None:
    """Return a near target whose gate awaits a trial."""
    awaiting = service.capacities.list_awaiting_trial(now)
    if not awaiting:
        return None
    others = (
        target for target in service.selector.loads if target not in awaiting
    )
    return service.selector.choose(now, (*excluded, *others), near=True)


def _select_with_capacity(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...],
) -> Target | None:
    choose = service.selector.choose
    without_slot = (*excluded, *service.capacities.list_full(now))
    withholding = service.list_withholding(now, record)
    quarantined = service.capacities.list_quarantined(now)
    found = choose(now, (*without_slot, *withholding), near=True)
    # A suspected near target is preferred to leaving the failure domain.
    found = found or choose(now, (*without_slot, *quarantined), near=True)
    if found is not None:
        return found
    return _select_without_capacity(service, now, record, excluded, withholding)


def _select_without_capacity(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...],
    withholding: tuple[TargetId, ...],
) -> Target | None:
    """Return the target if no near one has a free slot; None: wait here.

    A request leaves the failure domain only if a slot is expected to be free
    elsewhere: a request that is declined there costs its bytes twice.
    """
    choose = service.selector.choose
    avoided = (*excluded, *withholding)
    without_slot = (*avoided, *service.capacities.list_full(now))
    if _is_answered_in_time(service, now, record, near=True):
        return choose(now, avoided, near=True)
    found = choose(now, without_slot)
    if found is None and _is_answered_in_time(service, now, record, near=False):
        found = choose(now, avoided)
    found = found or choose(now, avoided, near=True)
    found = found or choose(now, excluded, near=True)
    loads = service.selector.loads.values()
    if found is None and not any(load.near for load in loads):
        found = choose(now, excluded)
    return found


def _is_answered_in_time(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    *,
    near: bool,
) -> bool:
    """Return whether a wait at a gate still meets the latency objective."""
    plan = record.arrival.plan
    wait = _estimate_slot_wait(service, near)
    if wait is None or not plan.aim:
        return False
    usual = service.durations.find(plan).find_quantile(0)
    return record.compute_elapsed(now) + wait + usual < plan.aim


def _estimate_slot_wait(service: ServiceState, near: bool) -> float | None:
    """Estimate the least seconds until a slot is free, if any are reported."""
    mean = service.selector.latency.mean
    waits: list[float] = []
    for target, load in service.selector.loads.items():
        capacity = service.capacities.find(target)
        if load.near is near and capacity is not None and not capacity.withheld:
            waits.append(_estimate_target_wait(load.target, capacity, mean))
    return min(waits, default=None)


def _estimate_target_wait(
    target: Target, capacity: ReportedCapacity, mean: float
) -> float:
    """Estimate the seconds until a slot and the rate limit admit one more."""
    slot = (capacity.waiting + 1) * mean / target.slots
    return slot if capacity.rate is None else max(slot, capacity.wait)


def select_for_waiting(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Target | None:
    """Return the target for a request that has waited at this node."""
    service.selector.adopt(service.detector.rotation())
    return select_freed_target(service, now, ()) or select_target(
        service, now, record
    )


def select_freed_target(
    service: ServiceState,
    now: float,
    excluded: tuple[TargetId, ...],
) -> Target | None:
    """Return the target that just answered; None if gates report capacity."""
    if service.capacities.has_reports(now):
        return None
    return service.selector.choose_freed(now, excluded)
