"""Which target gets a request, where gates tell of their room.

This answers bytes between failure domains that are dear, and targets of the
own one that are full: a request crosses only if a slot is known or likely to
be free there, and if waiting nearby would make its answer late.
"""

from hillfield.model import Target, TargetId
from hillfield.routing.records import RequestRecord
from hillfield.routing.service import Service


def place(
    service: Service,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...] = (),
) -> Target | None:
    """Return the target for the next attempt; None: none can take it."""
    if not service.rooms.are_known(now):
        return service.choose(now, excluded, trial=service.is_trial(record))
    service.selector.adopt(service.board.rotation())
    avoided = (*excluded, *service.list_held(now, record))
    full = (*avoided, *service.rooms.list_full(now))
    choose = service.selector.choose
    found = choose(now, full, near=True)
    if found is not None:
        return found
    if _comes_in_time(service, now, record):
        return choose(now, avoided, near=True)
    found = choose(now, full) or choose(now, avoided, near=True)
    return found or choose(now, avoided) or choose(now, excluded)


def _comes_in_time(
    service: Service,
    now: float,
    record: RequestRecord,
) -> bool:
    """Tell whether a request that waits nearby is still worth most."""
    plan = record.arrival.plan
    wait = _expect_near_wait(service)
    if wait is None or not plan.aim:
        return False
    usual = service.durations.find(plan).find_quantile(0)
    return record.find_spent(now) + wait + usual < plan.aim


def _expect_near_wait(service: Service) -> float | None:
    """Return the least seconds until a slot nearby is free, if known."""
    mean = service.selector.latency.mean
    waits: list[float] = []
    for target, load in service.selector.loads.items():
        room = service.rooms.find(target)
        if load.near and room is not None and not room.held:
            turns = (room.waiting + 1) / load.target.slots
            waits.append(turns * mean)
    return min(waits, default=None)


def place_waiting(
    service: Service,
    now: float,
    record: RequestRecord,
) -> Target | None:
    """Return the target for a request that has waited here."""
    service.selector.adopt(service.board.rotation())
    return choose_freed(service, now, ()) or place(service, now, record)


def choose_freed(
    service: Service,
    now: float,
    excluded: tuple[TargetId, ...],
) -> Target | None:
    """Return the target that has just answered, unless gates tell of room."""
    if service.rooms.are_known(now):
        return None
    return service.selector.choose_freed(now, excluded)
