"""Decide what becomes of a request when its attempt at the target ends."""

from typing import Final

from hillfield.crashes import Run
from hillfield.gate.health import AttemptResult
from hillfield.gate.results import is_success, read_result
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import (
    LATE_SHARE,
    compute_survival,
    record_unanswered,
)
from hillfield.routing.classification import classify_observation
from hillfield.routing.phases import (
    AttemptAction,
    AttemptPhase,
    AttemptTrigger,
    RequestTrigger,
)
from hillfield.routing.records import AttemptRecord
from hillfield.routing.refusals import describe_failed_attempt
from hillfield.routing.requests import Decision, Done, Observation, TimedOut

# Triggers after which the request may turn out to be a cause of the target's
# exit. A caller that leaves closes the connection, but the request may go on
# running.
WITHOUT_ANSWER: Final = frozenset(
    (
        AttemptTrigger.BROKEN,
        AttemptTrigger.GONE,
        AttemptTrigger.RELAYED,
        AttemptTrigger.TIMED_OUT,
    ),
)
UNCERTAIN: Final = frozenset(
    (AttemptAction.MAY_HAVE_RUN, AttemptAction.ABANDON)
)


def finish(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> Decision:
    """End an attempt and decide what the other node is told."""
    record = attempt.record
    classified = classify_observation(observation)
    written = attempt.phase is not AttemptPhase.CONNECTING
    if written and classified.trigger in WITHOUT_ANSWER:
        state.lost_runs.add(build_run(now, attempt))
    action = attempt.follow(classified.trigger)
    state.table.close(attempt)
    state.health.record_end()
    _record_result(state, now, attempt, observation)
    if classified.trigger is AttemptTrigger.ANSWERED:
        state.record_answered(now, attempt)
    if record.has_ended():
        return Done(record.arrival.request)
    if action is AttemptAction.SETTLE:
        state.table.end(record, RequestTrigger.SETTLE)
        return Done(record.arrival.request)
    if classified.trigger is AttemptTrigger.GONE:
        state.table.end(record, RequestTrigger.LEAVE)
        return Done(record.arrival.request)
    if action in UNCERTAIN:
        record.follow(RequestTrigger.MAY_HAVE_RUN)
    record.peer = str(attempt.target.id.address)
    return state.refuse(record, describe_failed_attempt(classified))


def build_run(now: float, attempt: AttemptRecord) -> Run:
    """Return the run to remember for an attempt without an answer."""
    return Run(
        attempt.record.arrival.fingerprint,
        attempt.target.id,
        now,
        now - attempt.started,
    )


def _record_age(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> None:
    """Record whether a request of long age hung or was answered."""
    answered = is_success(observation)
    if not (answered or isinstance(observation, TimedOut)):
        return
    if compute_survival(state, now, attempt) < LATE_SHARE:
        state.age_reliability.record(answered)


def _record_result(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> None:
    """Record the result of an attempt, and whether its age was misleading."""
    _record_age(state, now, attempt, observation)
    if attempt.hung:
        if is_success(observation):
            state.retract_age(now, attempt)
        return
    attempt_result = read_result(observation)
    if attempt_result is AttemptResult.NO_EVIDENCE:
        record_unanswered(state, now, attempt)
    elif _is_inconclusive(state, now, attempt, attempt_result):
        return
    else:
        state.record_result(now, attempt.target, attempt_result)


def _is_inconclusive(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    attempt_result: AttemptResult,
) -> bool:
    """Return whether a result is no evidence of the target's health.

    An error may be due to a failed call that the target made, and a good
    answer may have come very late.
    """
    if attempt_result is AttemptResult.FAILED:
        service = attempt.target.id.service
        return state.failed_calls.explains_failure(attempt.started, service)
    late = compute_survival(state, now, attempt) < LATE_SHARE
    return attempt_result is AttemptResult.GOOD and late
