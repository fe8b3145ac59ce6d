"""Count how attempts ended."""

from functools import singledispatch
from typing import Final

from hillfield.detection.decay import count_failure
from hillfield.detection.evaluation import evaluate_target
from hillfield.detection.evidence import Symptom
from hillfield.detection.health import OUT_OF_ROTATION, Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TRIAL_STAGES, TargetRecord
from hillfield.detection.service import ServiceHealth
from hillfield.detection.transitions import restore_target
from hillfield.routing.declining import Declined
from hillfield.routing.requests import (
    Answered,
    Broken,
    CallerGone,
    ConnectFailed,
    NothingWritten,
    Shed,
    TimedOut,
)

# Seconds of a lower share after a shed answer.
SHED_SECONDS: Final = 1
# Consecutive successes that end an ejection early.
FLOOR_HELD_SUCCESSES: Final = 10


@singledispatch
def count_observation(
    observation: object,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    """Count how an attempt at the target ended."""
    raise TypeError(f'not an observation: {observation!r}')


@count_observation.register
def _count_caller_gone(
    observation: CallerGone,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    """Count nothing: the caller left before the target could answer."""


@count_observation.register
def _count_declined(
    observation: Declined,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    """Count that the path works: the target itself got no request."""
    _count_reached(service, record, now)


@count_observation.register(ConnectFailed)
@count_observation.register(NothingWritten)
def _count_unreachable(
    observation: ConnectFailed | NothingWritten,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    record.consecutive_successes = 0
    count_failure(service, record, Indicator.UNREACHABLE, now)
    evaluate_target(service, record, now)


@count_observation.register
def _count_shed(
    observation: Shed,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    _count_reached(service, record, now)
    # The target limits its own load, which is no failure.
    record.shed_until = now + SHED_SECONDS
    service.unsettled_targets.add(record.target.id)
    service.rotation_outdated = True


@count_observation.register
def _count_broken(
    observation: Broken,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    _count_reached(service, record, now)
    _count_error(service, record, now, Symptom.BROKEN)


@count_observation.register
def _count_timeout(
    observation: TimedOut,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    _count_error(service, record, now, Symptom.STALLED)


@count_observation.register
def _count_answer(
    observation: Answered,
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    _count_reached(service, record, now)
    if observation.wrong:
        _count_error(service, record, now, Symptom.WRONG)
        return
    tally = record.tallies[Indicator.ERROR]
    tally.add_success(now, service.weights[Indicator.ERROR])
    if record.health is Health.TRIAL:
        _count_trial_success(service, record, now)
    elif record.health in OUT_OF_ROTATION:
        _count_floor_held_success(record, now)


def _count_reached(
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    tally = record.tallies[Indicator.UNREACHABLE]
    tally.add_success(now, service.weights[Indicator.UNREACHABLE])


def _count_error(
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
    symptom: Symptom,
) -> None:
    record.consecutive_successes = 0
    record.error_symptom = symptom
    count_failure(service, record, Indicator.ERROR, now)
    evaluate_target(service, record, now)


def _count_trial_success(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    record.consecutive_successes += 1
    if (
        record.consecutive_successes
        < TRIAL_STAGES[record.trial_stage].successes
    ):
        return
    record.consecutive_successes = 0
    record.trial_stage += 1
    service.rotation_outdated = True
    if record.trial_stage == len(TRIAL_STAGES):
        record.trial_stage = 0
        restore_target(service, record, now)


def _count_floor_held_success(record: TargetRecord, now: float) -> None:
    # Only the floor sends work to a target in this state.
    record.consecutive_successes += 1
    if record.consecutive_successes >= FLOOR_HELD_SUCCESSES:
        record.out_until = min(record.out_until, now)
