"""Evidence from the ages of the requests at the target.

It detects targets that hang while their health checks pass. Each request
without an answer is evidence, the stronger the fewer requests of its route
take so long. So work is withheld before any of these requests times out.
"""

from math import log
from typing import Final

from hillfield.gate.standing import SICK_RATE, SICK_SCORE, Ending
from hillfield.gate.state import GateState
from hillfield.routing.records import AttemptRecord

# Minimum share of requests that are assumed to take any given time: 1 in 100
# takes several times as long as its route usually does. So no single request
# quarantines a target.
LEAST_SHARE: Final = 0.01
# Part of the evidence of an age that counts: ages are checked all the time, so
# each request would otherwise count with its most extreme moment.
CAUTION: Final = 0.6
# Share of a route's requests that take longer than a trial may before it
# counts as failed, and longer than a good answer that is evidence of health.
LATE_SHARE: Final = 0.03
# Share of a route's requests that take longer than an attempt without an
# answer that is no evidence: its caller has left early.
EARLY_SHARE: Final = 0.5
# Score of the attempts in flight from which requests that must not run twice
# go to another target if they can: such ages are 7 times likelier at a target
# that hangs.
DOUBT_SCORE: Final = 1.2


def weigh_running(state: GateState, now: float) -> float:
    """Return what the ages of all attempts in flight add to the score."""
    return sum(
        weigh_age(state, now, attempt)
        for attempt in state.ledger.attempts.values()
        if not attempt.hung
    )


def weigh_age(state: GateState, now: float, attempt: AttemptRecord) -> float:
    """Return the log likelihood ratio of an attempt's age."""
    share = max(LEAST_SHARE, find_share(state, now, attempt))
    likelihood = log((SICK_RATE + (1 - SICK_RATE) * share) / share)
    return CAUTION * state.ages.factor * likelihood


def find_share(state: GateState, now: float, attempt: AttemptRecord) -> float:
    """Return the share of the route's requests that take at least as long."""
    duration = state.durations.find(attempt.record.arrival.plan)
    return duration.survive(state.find_work(now, attempt))


def judge_running(state: GateState, now: float) -> None:
    """Record the attempts that have taken too long."""
    if state.standing.shunned:
        _check_trials(state, now)
    elif state.standing.score + weigh_running(state, now) > SICK_SCORE:
        for attempt in tuple(state.ledger.attempts.values()):
            count_age(state, now, attempt)


def count_age(state: GateState, now: float, attempt: AttemptRecord) -> None:
    """Record an unanswered attempt by its age, once."""
    if attempt.hung:
        return
    attempt.hung = True
    attempt.weight = weigh_age(state, now, attempt)
    state.judge(now, attempt.target, Ending.HUNG, attempt.weight)


def count_unanswered(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
) -> None:
    """Record an attempt that ended without an answer, unless it ended early."""
    if find_share(state, now, attempt) < EARLY_SHARE:
        count_age(state, now, attempt)


def _check_trials(state: GateState, now: float) -> None:
    for attempt in tuple(state.ledger.attempts.values()):
        if find_share(state, now, attempt) < LATE_SHARE:
            count_age(state, now, attempt)
