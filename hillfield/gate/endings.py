"""Attempt results that observations of the host's target amount to."""

from http import HTTPStatus

from hillfield.gate.standing import Ending
from hillfield.routing.requests import (
    Answered,
    Broken,
    ConnectFailed,
    Observation,
)


def read_ending(observation: Observation) -> Ending:
    """Return the result of an attempt, as evidence of the target's health.

    A time-out is no evidence, since the caller may have left too little time;
    a request that hangs is recorded by its age while it waits.

    >>> read_ending(Answered(HTTPStatus.OK))
    <Ending.GOOD: 'good'>
    >>> read_ending(ConnectFailed('refused'))
    <Ending.UNREACHED: 'unreached'>
    """
    match observation:
        case Broken():
            return Ending.BROKEN
        case ConnectFailed():
            return Ending.UNREACHED
        case Answered():
            return _classify_answer(observation)
    return Ending.SILENT


def is_success(observation: Observation) -> bool:
    """Return whether the target completed the work and answered.

    >>> is_success(Answered(HTTPStatus.OK)), is_success(Broken(''))
    (True, False)
    """
    if not isinstance(observation, Answered) or observation.wrong:
        return False
    return observation.status < HTTPStatus.MULTIPLE_CHOICES


def _classify_answer(answer: Answered) -> Ending:
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        return Ending.SILENT
    if answer.wrong or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Ending.FAILED
    return Ending.GOOD
