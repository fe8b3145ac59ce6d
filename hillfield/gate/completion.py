"""Decide what becomes of a request when its attempt at the target ends."""

from typing import Final

from hillfield.crashes import Run
from hillfield.gate.endings import is_success, read_ending
from hillfield.gate.standing import Ending
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import (
    LATE_SHARE,
    count_unanswered,
    find_share,
)
from hillfield.routing.phases import (
    AttemptAction,
    AttemptPhase,
    AttemptTrigger,
    RequestTrigger,
)
from hillfield.routing.readings import read_observation
from hillfield.routing.records import AttemptRecord
from hillfield.routing.refusals import describe_reading
from hillfield.routing.requests import Done, Observation, TimedOut, Verdict

# Ends after which a target may be found to have ended under the request; a
# caller that leaves closes the connection, and the run may go on.
WITHOUT_ANSWER: Final = frozenset(
    (
        AttemptTrigger.BROKEN,
        AttemptTrigger.GONE,
        AttemptTrigger.RELAYED,
        AttemptTrigger.TIMED_OUT,
    ),
)
DOUBTFUL: Final = frozenset((AttemptAction.DOUBT, AttemptAction.ABANDON))


def finish(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> Verdict:
    """End an attempt and decide what the other node is told."""
    record = attempt.record
    reading = read_observation(observation)
    written = attempt.phase is not AttemptPhase.CONNECTING
    if written and reading.trigger in WITHOUT_ANSWER:
        state.lost.note(make_run(now, attempt))
    action = attempt.follow(reading.trigger)
    state.ledger.close(attempt)
    state.standing.end()
    _judge_end(state, now, attempt, observation)
    if reading.trigger is AttemptTrigger.ANSWERED:
        state.note_answered(now, attempt)
    if record.has_ended():
        return Done(record.arrival.request)
    if action is AttemptAction.SETTLE:
        state.ledger.end(record, RequestTrigger.SETTLE)
        return Done(record.arrival.request)
    if reading.trigger is AttemptTrigger.GONE:
        state.ledger.end(record, RequestTrigger.LEAVE)
        return Done(record.arrival.request)
    if action in DOUBTFUL:
        record.follow(RequestTrigger.DOUBT)
    record.peer = str(attempt.target.id.address)
    return state.refuse(record, describe_reading(reading))


def make_run(now: float, attempt: AttemptRecord) -> Run:
    """Return what is remembered of an attempt that ends without an answer."""
    return Run(
        attempt.record.arrival.fingerprint,
        attempt.target.id,
        now,
        now - attempt.started,
    )


def _learn_ages(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> None:
    """Learn whether a long age meant that the request would hang."""
    answered = is_success(observation)
    if not (answered or isinstance(observation, TimedOut)):
        return
    if find_share(state, now, attempt) < LATE_SHARE:
        state.ages.note(answered)


def _judge_end(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> None:
    """Count what an end says of the target, and of such ages."""
    _learn_ages(state, now, attempt, observation)
    if attempt.hung:
        if is_success(observation):
            state.clear(now, attempt)
        return
    ending = read_ending(observation)
    if ending is Ending.SILENT:
        count_unanswered(state, now, attempt)
    elif _says_nothing(state, now, attempt, ending):
        return
    else:
        state.judge(now, attempt.target, ending)


def _says_nothing(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    ending: Ending,
) -> bool:
    """Tell whether the target is neither to blame for an end nor cleared.

    Its calls may have failed, and a good answer may have come very late.
    """
    if ending is Ending.FAILED:
        service = attempt.target.id.service
        return state.calls.excuse(attempt.started, service)
    late = find_share(state, now, attempt) < LATE_SHARE
    return ending is Ending.GOOD and late
