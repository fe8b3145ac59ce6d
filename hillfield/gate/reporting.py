"""Reports of the target's free capacity."""

from typing import Final

from hillfield.gate.capacity import (
    count_free_slots,
    count_usable_slots,
    estimate_wait,
)
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import SUSPICION_SCORE, score_running
from hillfield.loadreports.reports import (
    ENOUGH_REPEATS,
    LoadReport,
    WithheldWork,
)

# Decimal digits of reported seconds: a millisecond changes no decision.
WAIT_DIGITS: Final = 3
REPEATS_DIGITS: Final = 1


def build_report(
    state: GateState,
    now: float,
    number: int,
) -> LoadReport | None:
    """Return the report of the target, or None without a target."""
    target = state.target
    if target is None:
        return _report_leaving(state, number)
    waiting = len(state.queue)
    free = 0 if waiting else count_free_slots(state, now, target)
    return LoadReport(
        target.id.service,
        target.id.address.ip,
        target.id.address.port,
        target.id.incarnation,
        number,
        free,
        waiting,
        _find_withheld(state, now),
        0 if free else round(estimate_wait(state, now, target), WAIT_DIGITS),
        count_usable_slots(state, target),
        state.build_notice(),
        _find_repeats(state, now),
    )


def _find_repeats(state: GateState, now: float) -> float | None:
    share = state.repeats.compute_share(now)
    return None if share >= ENOUGH_REPEATS else round(share, REPEATS_DIGITS)


def _report_leaving(state: GateState, number: int) -> LoadReport | None:
    """Report no capacity for an incarnation that leaves."""
    if state.departing is None:
        return None
    leaving = state.departing.target.id
    return LoadReport(
        leaving.service,
        leaving.address.ip,
        leaving.address.port,
        leaving.incarnation,
        number,
        0,
        held=WithheldWork.ALL,
        notice=state.build_notice(),
    )


def _find_withheld(state: GateState, now: float) -> WithheldWork:
    if state.health.quarantined:
        trial_due = state.health.is_trial_due(now)
        return WithheldWork.USUAL if trial_due else WithheldWork.ALL
    suspected = score_running(state, now) > SUSPICION_SCORE
    return WithheldWork.ONCE if suspected else WithheldWork.NOTHING
