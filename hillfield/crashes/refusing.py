"""What a caller is told whose request ends the targets that run it."""

from http import HTTPStatus
from typing import Final

from hillfield.events import EventCode
from hillfield.model import Outcome, RequestFailure, Step

UNAVAILABLE: Final[int] = HTTPStatus.SERVICE_UNAVAILABLE
BAD_GATEWAY: Final[int] = HTTPStatus.BAD_GATEWAY


def describe_refusal(
    fingerprint: bytes,
    ends: int,
    wait: float,
    *,
    may_have_run: bool,
) -> RequestFailure:
    """Return the failure: refused at once, and told from a refusal for load.

    Of this attempt not a byte has gone to a target, so it certainly has not
    run, unless an earlier try of it `may_have_run`. `ends` are the targets
    that ended under the request, `wait` the seconds until it is tried again
    (inf: not before an operator lifts it).

    >>> describe_refusal(b'x', 3, 60, may_have_run=False).outcome
    <Outcome.NOT_RUN: 'not-run'>
    """
    retry_after = None if may_have_run or wait == float('inf') else wait
    return RequestFailure(
        BAD_GATEWAY if may_have_run else UNAVAILABLE,
        Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        Step.ADMIT,
        '',
        int(EventCode.CRASHING_REQUEST_REFUSED),
        f'{ends} targets ended under request {fingerprint.hex()}',
        retry_after,
    )
