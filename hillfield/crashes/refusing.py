"""The failure that answers a request which makes targets exit."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from hillfield.events import EventCode
from hillfield.model import Outcome, RequestFailure, Step

# Maximum number of nodes that a refusal names.
MAXIMUM_NAMES: Final = 5
UNAVAILABLE: Final[int] = HTTPStatus.SERVICE_UNAVAILABLE
BAD_GATEWAY: Final[int] = HTTPStatus.BAD_GATEWAY


def describe_refusal(
    fingerprint: bytes,
    gates: Iterable[str],
    wait: float,
    *,
    may_have_run: bool,
) -> RequestFailure:
    """Return the failure, distinguishable from a refusal because of load.

    No byte of this attempt has gone to a target, so it certainly has not run,
    unless an earlier attempt `may_have_run`. `gates` are the nodes that saw
    targets exit during the request, `wait` the seconds until it is tried again
    (inf: not before an operator lifts the refusal).

    >>> describe_refusal(b'x', ['n1'], 60, may_have_run=False).outcome
    <Outcome.NOT_RUN: 'not-run'>
    """
    names = ' '.join(sorted(set(gates))[:MAXIMUM_NAMES])
    retry_after = None if may_have_run or wait == float('inf') else wait
    return RequestFailure(
        BAD_GATEWAY if may_have_run else UNAVAILABLE,
        Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        Step.ADMIT,
        '',
        int(EventCode.CRASHING_REQUEST_REFUSED),
        f'targets exited under request {fingerprint.hex()}, seen by {names}',
        retry_after,
    )
