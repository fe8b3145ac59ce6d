"""Which target gets a request, where gates tell of their room.

This answers bytes between failure domains that are dear, and targets of the
own one that are full: a request crosses only if a slot is known or likely to
be free there, and if waiting nearby would make its answer late.
"""

from hillfield.model import Target, TargetId
from hillfield.routing.records import RequestRecord
from hillfield.routing.rooms import Room
from hillfield.routing.service import Service


def place(
    service: Service,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...] = (),
) -> Target | None:
    """Return the target for the next attempt; None: none can take it."""
    trial = service.is_trial(record)
    if not service.rooms.are_known(now):
        return service.choose(now, excluded, trial=trial)
    service.selector.adopt(service.board.rotation())
    if trial:
        found = _find_trial(service, now, excluded)
        if found is not None:
            return found
    return _place_usual(service, now, record, excluded)


def place_hedge(
    service: Service,
    now: float,
    record: RequestRecord,
) -> Target | None:
    """Return a target with room for a second attempt beside the first."""
    if not service.rooms.are_known(now):
        return service.choose(now, record.tried)
    held = service.list_held(now, record)
    full = (*record.tried, *held, *service.rooms.list_full(now))
    choose = service.selector.choose
    return choose(now, full, near=True) or choose(now, full)


def _find_trial(
    service: Service,
    now: float,
    excluded: tuple[TargetId, ...],
) -> Target | None:
    """Return a target nearby whose gate asks for a trial."""
    wanting = service.rooms.list_wanting(now)
    if not wanting:
        return None
    others = (
        target for target in service.selector.loads if target not in wanting
    )
    return service.selector.choose(now, (*excluded, *others), near=True)


def _place_usual(
    service: Service,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...],
) -> Target | None:
    choose = service.selector.choose
    full = (*excluded, *service.rooms.list_full(now))
    doubted = service.list_held(now, record)
    shunned = service.rooms.list_shunned(now)
    found = choose(now, (*full, *doubted), near=True)
    # One that is merely suspected nearby goes before a way across.
    found = found or choose(now, (*full, *shunned), near=True)
    if found is not None:
        return found
    return _place_full(service, now, record, excluded, doubted)


def _place_full(
    service: Service,
    now: float,
    record: RequestRecord,
    excluded: tuple[TargetId, ...],
    held: tuple[TargetId, ...],
) -> Target | None:
    """Return the target where no room is known nearby; None: wait here.

    Where no way across promises a slot, none is taken: a request that comes
    back declined costs its bytes twice.
    """
    choose = service.selector.choose
    avoided = (*excluded, *held)
    full = (*avoided, *service.rooms.list_full(now))
    if _comes_in_time(service, now, record, near=True):
        return choose(now, avoided, near=True)
    found = choose(now, full)
    if found is None and _comes_in_time(service, now, record, near=False):
        found = choose(now, avoided)
    found = found or choose(now, avoided, near=True)
    found = found or choose(now, excluded, near=True)
    loads = service.selector.loads.values()
    if found is None and not any(load.near for load in loads):
        found = choose(now, excluded)
    return found


def _comes_in_time(
    service: Service,
    now: float,
    record: RequestRecord,
    *,
    near: bool,
) -> bool:
    """Tell whether a request that waits at a gate is still worth most."""
    plan = record.arrival.plan
    wait = _expect_wait(service, near)
    if wait is None or not plan.aim:
        return False
    usual = service.durations.find(plan).find_quantile(0)
    return record.find_spent(now) + wait + usual < plan.aim


def _expect_wait(service: Service, near: bool) -> float | None:
    """Return the least seconds until a slot is free, if it is known."""
    mean = service.selector.latency.mean
    waits: list[float] = []
    for target, load in service.selector.loads.items():
        room = service.rooms.find(target)
        if load.near is near and room is not None and not room.held:
            waits.append(_find_turn(load.target, room, mean))
    return min(waits, default=None)


def _find_turn(target: Target, room: Room, mean: float) -> float:
    """Return the seconds until one more finds a slot, and its turn."""
    slot = (room.waiting + 1) * mean / target.slots
    return slot if room.rate is None else max(slot, room.wait)


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
