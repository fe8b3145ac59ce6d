"""Count what became of requests."""

from functools import singledispatch
from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.fading import add_failure
from hillfield.detection.health import OUT, Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TRIAL_STAGES, TargetRecord
from hillfield.detection.service import Service
from hillfield.detection.transitions import restore
from hillfield.detection.verdicts import judge
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

SHED_SECONDS: Final = 1
HELD_SUCCESSES: Final = 10


@singledispatch
def count_end(
    observation: object,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    """Count how an attempt at the target ended."""
    raise TypeError(f'no observation: {observation!r}')


@count_end.register
def _count_gone(
    observation: CallerGone,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    """Learn nothing: the target had no chance to end it."""


@count_end.register
def _count_declined(
    observation: Declined,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    """Learn that the way is good: the target itself was not asked."""
    _count_reached(service, record, now)


@count_end.register(ConnectFailed)
@count_end.register(NothingWritten)
def _count_unreachable(
    observation: ConnectFailed | NothingWritten,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    record.passed = 0
    add_failure(service, record, Indicator.UNREACHABLE, now)
    judge(service, record, now)


@count_end.register
def _count_shed(
    observation: Shed,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    _count_reached(service, record, now)
    # The target defends itself: less work for a moment, no fault.
    record.shed_until = now + SHED_SECONDS
    service.unsettled.add(record.target.id)
    service.changed = True


@count_end.register
def _count_broken(
    observation: Broken,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    _count_reached(service, record, now)
    _count_error(service, record, now, Symptom.BROKEN)


@count_end.register
def _count_timeout(
    observation: TimedOut,
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    _count_error(service, record, now, Symptom.STALLED)


@count_end.register
def _count_answer(
    observation: Answered,
    service: Service,
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
        _pass_trial(service, record, now)
    elif record.health in OUT:
        _pass_held(record, now)


def _count_reached(
    service: Service,
    record: TargetRecord,
    now: float,
) -> None:
    tally = record.tallies[Indicator.UNREACHABLE]
    tally.add_success(now, service.weights[Indicator.UNREACHABLE])


def _count_error(
    service: Service,
    record: TargetRecord,
    now: float,
    symptom: Symptom,
) -> None:
    record.passed = 0
    record.error_symptom = symptom
    add_failure(service, record, Indicator.ERROR, now)
    judge(service, record, now)


def _pass_trial(service: Service, record: TargetRecord, now: float) -> None:
    record.passed += 1
    if record.passed < TRIAL_STAGES[record.stage].successes:
        return
    record.passed = 0
    record.stage += 1
    service.changed = True
    if record.stage == len(TRIAL_STAGES):
        record.stage = 0
        restore(service, record, now)


def _pass_held(record: TargetRecord, now: float) -> None:
    # Only the floor sends a target work in this state.
    record.passed += 1
    if record.passed >= HELD_SUCCESSES:
        record.until = min(record.until, now)
