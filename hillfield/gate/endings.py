"""What an observation says of the host's target."""

from http import HTTPStatus

from hillfield.gate.standing import Ending
from hillfield.routing.requests import (
    Answered,
    Broken,
    ConnectFailed,
    Observation,
)


def read_ending(observation: Observation) -> Ending:
    """Return how a request ended, as far as it speaks of the target.

    Too little time left says as much of the caller, so a time-out is silent;
    a request that hangs is counted while it waits.

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
            return _read_answer(observation)
    return Ending.SILENT


def is_success(observation: Observation) -> bool:
    """Tell whether the target did the whole work and answered it.

    >>> is_success(Answered(HTTPStatus.OK)), is_success(Broken(''))
    (True, False)
    """
    if not isinstance(observation, Answered) or observation.wrong:
        return False
    return observation.status < HTTPStatus.MULTIPLE_CHOICES


def _read_answer(answer: Answered) -> Ending:
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        return Ending.SILENT
    if answer.wrong or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Ending.FAILED
    return Ending.GOOD
