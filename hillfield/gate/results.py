"""Attempt results that observations of the host's target amount to."""

from http import HTTPStatus

from hillfield.gate.health import AttemptResult
from hillfield.routing.requests import (
    Answered,
    Broken,
    ConnectFailed,
    Observation,
)


def read_result(observation: Observation) -> AttemptResult:
    """Return the result of an attempt, as evidence of the target's health.

    A time-out is no evidence, since the caller may have left too little time;
    a request that hangs is recorded by its age while it waits.

    >>> read_result(Answered(HTTPStatus.OK))
    <AttemptResult.GOOD: 'good'>
    >>> read_result(ConnectFailed('refused'))
    <AttemptResult.UNREACHABLE: 'unreached'>
    """
    match observation:
        case Broken():
            return AttemptResult.BROKEN
        case ConnectFailed():
            return AttemptResult.UNREACHABLE
        case Answered():
            return _classify_answer(observation)
    return AttemptResult.NO_EVIDENCE


def is_success(observation: Observation) -> bool:
    """Return whether the target completed the work and answered.

    >>> is_success(Answered(HTTPStatus.OK)), is_success(Broken(''))
    (True, False)
    """
    if not isinstance(observation, Answered) or observation.wrong:
        return False
    return observation.status < HTTPStatus.MULTIPLE_CHOICES


def _classify_answer(answer: Answered) -> AttemptResult:
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        return AttemptResult.NO_EVIDENCE
    if answer.wrong or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return AttemptResult.FAILED
    return AttemptResult.GOOD
