"""Evidence from the ages of the requests at the target.

It detects targets that hang while their health checks pass. Each request
without an answer is evidence, the stronger the fewer requests of its route
take so long. So work is withheld before any of these requests times out.
"""

from math import log
from typing import Final

from hillfield.gate.health import (
    QUARANTINE_SCORE,
    UNHEALTHY_FAILURE_RATE,
    AttemptResult,
)
from hillfield.gate.state import GateState
from hillfield.routing.records import AttemptRecord

# Minimum share of requests that are assumed to take any given time: 1 in 100
# takes several times as long as its route usually does. So no single request
# quarantines a target.
MINIMUM_SHARE: Final = 0.01
# Part of the evidence of an age that counts: ages are checked all the time, so
# each request would otherwise count with its most extreme moment.
AGE_WEIGHT: Final = 0.6
# Share of a route's requests that take longer than a trial may before it
# counts as failed, and longer than a good answer that is evidence of health.
LATE_SHARE: Final = 0.03
# Share of a route's requests that take longer than an attempt without an
# answer that is no evidence: its caller has left early.
EARLY_SHARE: Final = 0.5
# Score of the attempts in flight from which requests that must not run twice
# go to another target if they can: such ages are 7 times likelier at a target
# that hangs.
SUSPICION_SCORE: Final = 1.2


def score_running(state: GateState, now: float) -> float:
    """Return what the ages of all attempts in flight add to the score."""
    return sum(
        score_age(state, now, attempt)
        for attempt in state.table.attempts.values()
        if not attempt.hung
    )


def score_age(state: GateState, now: float, attempt: AttemptRecord) -> float:
    """Return the log likelihood ratio of an attempt's age."""
    share = max(MINIMUM_SHARE, compute_survival(state, now, attempt))
    likelihood = log(
        (UNHEALTHY_FAILURE_RATE + (1 - UNHEALTHY_FAILURE_RATE) * share) / share
    )
    return AGE_WEIGHT * state.age_reliability.factor * likelihood


def compute_survival(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
) -> float:
    """Return the share of the route's requests that take at least as long."""
    duration = state.durations.find(attempt.record.arrival.plan)
    return duration.share_above(state.compute_warm_age(now, attempt))


def check_running(state: GateState, now: float) -> None:
    """Record the attempts that have taken too long."""
    if state.health.quarantined:
        _check_trials(state, now)
    elif state.health.score + score_running(state, now) > QUARANTINE_SCORE:
        for attempt in tuple(state.table.attempts.values()):
            record_age(state, now, attempt)


def record_age(state: GateState, now: float, attempt: AttemptRecord) -> None:
    """Record an unanswered attempt by its age, once."""
    if attempt.hung:
        return
    attempt.hung = True
    attempt.age_weight = score_age(state, now, attempt)
    state.record_result(
        now, attempt.target, AttemptResult.HUNG, attempt.age_weight
    )


def record_unanswered(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
) -> None:
    """Record an attempt that ended without an answer, unless it ended early."""
    if compute_survival(state, now, attempt) < EARLY_SHARE:
        record_age(state, now, attempt)


def _check_trials(state: GateState, now: float) -> None:
    for attempt in tuple(state.table.attempts.values()):
        if compute_survival(state, now, attempt) < LATE_SHARE:
            record_age(state, now, attempt)
