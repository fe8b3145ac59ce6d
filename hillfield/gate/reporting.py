"""What the gate tells of its target's room."""

from typing import Final

from hillfield.gate.room import count_room, count_usable, find_wait
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import DOUBT_SCORE, weigh_running
from hillfield.loadreports.reports import Held, LoadReport

# Digits of the seconds that are told: a millisecond changes no choice.
WAIT_DIGITS: Final = 3


def report_load(
    state: GateState,
    now: float,
    number: int,
) -> LoadReport | None:
    """Return the report of the target, if there is one."""
    target = state.target
    if target is None:
        return _report_left(state, number)
    waiting = len(state.queue)
    free = 0 if waiting else count_room(state, now, target)
    return LoadReport(
        target.id.service,
        target.id.address.ip,
        target.id.address.port,
        target.id.incarnation,
        number,
        free,
        waiting,
        _find_held(state, now),
        0 if free else round(find_wait(state, now, target), WAIT_DIGITS),
        count_usable(state, target),
        state.find_notice(),
    )


def _report_left(state: GateState, number: int) -> LoadReport | None:
    """Tell that a life that leaves has no room, until another is here."""
    if state.farewell is None:
        return None
    left = state.farewell.target.id
    return LoadReport(
        left.service,
        left.address.ip,
        left.address.port,
        left.incarnation,
        number,
        0,
        held=Held.ALL,
        notice=state.find_notice(),
    )


def _find_held(state: GateState, now: float) -> Held:
    if state.standing.shunned:
        wanted = state.standing.wants_trial(now)
        return Held.USUAL if wanted else Held.ALL
    doubted = weigh_running(state, now) > DOUBT_SCORE
    return Held.ONCE if doubted else Held.NOTHING
