"""Decide what becomes of a request when its attempt at the target ends."""

from typing import Final

from hillfield.gate.endings import read_ending
from hillfield.gate.standing import Ending
from hillfield.gate.state import GateState
from hillfield.routing.phases import (
    AttemptAction,
    AttemptTrigger,
    RequestTrigger,
)
from hillfield.routing.readings import read_observation
from hillfield.routing.records import AttemptRecord
from hillfield.routing.refusals import describe_reading
from hillfield.routing.requests import Done, Observation, Verdict

DOUBTFUL: Final = frozenset((AttemptAction.DOUBT, AttemptAction.ABANDON))
# A request hangs after so many times the usual seconds of its target, but no
# sooner than so many seconds above them: targets turn five times as slow at
# times and still answer. Before any answer the limit is that of a cold one.
HANG_FACTOR: Final = 4.0
LEAST_HANG: Final = 0.5
FIRST_HANG: Final = 2.0


def finish(
    state: GateState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> Verdict:
    """End an attempt and decide what the other node is told."""
    record = attempt.record
    reading = read_observation(observation)
    action = attempt.follow(reading.trigger)
    state.ledger.close(attempt)
    state.standing.end()
    if not attempt.hung:
        ending = _judge_ending(state, attempt, observation)
        state.judge(now, attempt.target, ending)
    if reading.trigger is AttemptTrigger.ANSWERED:
        state.latency.note(now, now - attempt.started)
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


def _judge_ending(
    state: GateState,
    attempt: AttemptRecord,
    observation: Observation,
) -> Ending:
    """Return what an end says of the target, whose calls may have failed."""
    ending = read_ending(observation)
    service = attempt.target.id.service
    excused = state.calls.excuse(attempt.started, service)
    if ending is Ending.FAILED and excused:
        return Ending.SILENT
    return ending


def count_hung(state: GateState, now: float) -> None:
    """Count requests that have waited for an answer far too long."""
    limit = find_hang_limit(state)
    for attempt in state.ledger.attempts.values():
        late = now - attempt.started > limit
        if late and not attempt.hung:
            attempt.hung = True
            state.judge(now, attempt.target, Ending.HUNG)


def find_hang_limit(state: GateState) -> float:
    """Return the seconds that hardly any request takes at the target."""
    mean = state.latency.mean
    if not mean:
        return FIRST_HANG
    return max(HANG_FACTOR * mean, mean + LEAST_HANG)
