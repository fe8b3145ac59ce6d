"""What the ages of the requests at the target say of it.

This answers targets that hang while their health is good. Each request that
has no answer yet is evidence, the stronger the fewer requests of its route
take so long; so the next ones are spared before any of them times out.
"""

from math import log
from typing import Final

from hillfield.gate.standing import SICK_RATE, SICK_SCORE, Ending
from hillfield.gate.state import GateState
from hillfield.routing.records import AttemptRecord

# The least share of requests that are believed to take any given time: 1 in
# 100 takes several times as long as its route does (site files). So one
# request alone never convicts a target.
LEAST_SHARE: Final = 0.01
# Part of the evidence that is counted: an age is looked at all the while, and
# the worst moment of each request would tell against its target.
CAUTION: Final = 0.6
# Share of a route's requests that take longer than a trial may, before it
# counts as one that failed, and than a good answer that clears its target.
LATE_SHARE: Final = 0.03
# Share of a route's requests that still take longer where nothing is said by
# an end without an answer: the caller has left early.
EARLY_SHARE: Final = 0.5
# The score of what is under way from which work that runs once goes elsewhere
# if it can: such ages are 7 times likelier at a target that hangs.
DOUBT_SCORE: Final = 1.2


def weigh_running(state: GateState, now: float) -> float:
    """Return what the ages of all that is under way add to the score."""
    return sum(
        weigh_age(state, now, attempt)
        for attempt in state.ledger.attempts.values()
        if not attempt.hung
    )


def weigh_age(state: GateState, now: float, attempt: AttemptRecord) -> float:
    """Return how much likelier such an age is at a sick target, as a log."""
    share = max(LEAST_SHARE, find_share(state, now, attempt))
    likelihood = log((SICK_RATE + (1 - SICK_RATE) * share) / share)
    return CAUTION * state.ages.factor * likelihood


def find_share(state: GateState, now: float, attempt: AttemptRecord) -> float:
    """Return the share of the route's requests that take so long."""
    duration = state.durations.find(attempt.record.arrival.plan)
    return duration.survive(state.find_work(now, attempt))


def judge_running(state: GateState, now: float) -> None:
    """Count what has been at the target for too long."""
    if state.standing.shunned:
        _judge_trials(state, now)
    elif state.standing.score + weigh_running(state, now) > SICK_SCORE:
        for attempt in tuple(state.ledger.attempts.values()):
            count_age(state, now, attempt)


def count_age(state: GateState, now: float, attempt: AttemptRecord) -> None:
    """Count a request without an answer by its age, once."""
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
    """Count a request that ended without an answer, unless it was early."""
    if find_share(state, now, attempt) < EARLY_SHARE:
        count_age(state, now, attempt)


def _judge_trials(state: GateState, now: float) -> None:
    for attempt in tuple(state.ledger.attempts.values()):
        if find_share(state, now, attempt) < LATE_SHARE:
            count_age(state, now, attempt)
