"""Reports of the target's free capacity."""

from typing import Final

from hillfield.gate.room import count_room, count_usable, find_wait
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import DOUBT_SCORE, weigh_running
from hillfield.loadreports.reports import Held, LoadReport

# Decimal digits of reported seconds: a millisecond changes no decision.
WAIT_DIGITS: Final = 3


def report_load(
    state: GateState,
    now: float,
    number: int,
) -> LoadReport | None:
    """Return the report of the target, or None without a target."""
    target = state.target
    if target is None:
        return _report_leaving(state, number)
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
        _find_withheld(state, now),
        0 if free else round(find_wait(state, now, target), WAIT_DIGITS),
        count_usable(state, target),
        state.find_notice(),
    )


def _report_leaving(state: GateState, number: int) -> LoadReport | None:
    """Report no capacity for an incarnation that leaves."""
    if state.farewell is None:
        return None
    leaving = state.farewell.target.id
    return LoadReport(
        leaving.service,
        leaving.address.ip,
        leaving.address.port,
        leaving.incarnation,
        number,
        0,
        held=Held.ALL,
        notice=state.find_notice(),
    )


def _find_withheld(state: GateState, now: float) -> Held:
    if state.standing.shunned:
        trial_due = state.standing.wants_trial(now)
        return Held.USUAL if trial_due else Held.ALL
    suspected = weigh_running(state, now) > DOUBT_SCORE
    return Held.ONCE if suspected else Held.NOTHING
