"""Classification of observations for attempts, targets and callers."""

from functools import singledispatch
from http import HTTPStatus
from typing import Final

from msgspec import Struct

from hillfield.events import EventCode
from hillfield.model import Step
from hillfield.routing.declining import Declined
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.requests import (
    Answered,
    Broken,
    CallerGone,
    ConnectFailed,
    NothingWritten,
    Observation,
    Shed,
    TimedOut,
)

BAD_GATEWAY: Final[int] = HTTPStatus.BAD_GATEWAY
GATEWAY_TIMEOUT: Final[int] = HTTPStatus.GATEWAY_TIMEOUT


class Classification(Struct, frozen=True):
    """Hold the chart trigger of an observation and how to report a failure.

    `status` is the status of the answer to the caller if the request may have
    run. `same_target` says whether the same target may be tried again if no
    other is in rotation, `failed` whether the attempt is a failure of the
    target, `only_repeats` whether its gate declined it as a repeat.
    """

    trigger: AttemptTrigger
    event: EventCode = EventCode.REQUEST_BROKEN
    step: Step = Step.AWAIT_ANSWER
    status: int = BAD_GATEWAY
    detail: str = ''
    retry_after: float | None = None
    same_target: bool = True
    failed: bool = True
    only_repeats: bool = False


@singledispatch
def classify_observation(observation: Observation) -> Classification:
    """Return what an observation means."""
    raise TypeError(f'unknown observation: {type(observation).__name__}')


@classify_observation.register
def _connect_failed(observation: ConnectFailed) -> Classification:
    return Classification(
        AttemptTrigger.CONNECT_FAILED,
        EventCode.TARGET_NOT_REACHED,
        Step.CONNECT,
        detail=observation.detail,
        same_target=False,
    )


@classify_observation.register
def _nothing_written(observation: NothingWritten) -> Classification:
    return Classification(
        AttemptTrigger.NOTHING_WRITTEN,
        EventCode.TARGET_NOT_REACHED,
        Step.SEND,
        detail=observation.detail,
        failed=False,
    )


@classify_observation.register
def _declined(observation: Declined) -> Classification:
    return Classification(
        AttemptTrigger.DECLINED,
        EventCode.TARGET_DECLINED,
        Step.ADMIT,
        detail=observation.detail,
        retry_after=observation.retry_after,
        same_target=False,
        failed=False,
        only_repeats=observation.only_repeats,
    )


@classify_observation.register
def _shed(observation: Shed) -> Classification:
    return Classification(
        AttemptTrigger.SHED,
        EventCode.REQUEST_SHED,
        detail='the target refused: it is full',
        retry_after=observation.retry_after,
        same_target=False,
        failed=False,
    )


@classify_observation.register
def _broken(observation: Broken) -> Classification:
    trigger = AttemptTrigger.BROKEN
    if observation.forwarded:
        trigger = AttemptTrigger.RELAYED
    return Classification(trigger, detail=observation.detail)


@classify_observation.register
def _timed_out(observation: TimedOut) -> Classification:
    trigger = AttemptTrigger.TIMED_OUT
    if observation.forwarded:
        trigger = AttemptTrigger.RELAYED
    return Classification(
        trigger,
        EventCode.REQUEST_TIMED_OUT,
        status=GATEWAY_TIMEOUT,
        detail='no complete answer arrived in time',
    )


@classify_observation.register
def _answered(observation: Answered) -> Classification:
    if not observation.wrong:
        return Classification(AttemptTrigger.ANSWERED, failed=False)
    trigger = AttemptTrigger.WRONG
    if observation.forwarded:
        trigger = AttemptTrigger.RELAYED
    return Classification(
        trigger,
        EventCode.ANSWER_WRONG,
        detail=f'wrong answer: {observation.wrong}',
    )


@classify_observation.register
def _caller_gone(observation: CallerGone) -> Classification:
    return Classification(AttemptTrigger.GONE, failed=False)
