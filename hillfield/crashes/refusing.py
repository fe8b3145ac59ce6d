"""What a caller is told whose request ends the targets that run it."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from hillfield.events import EventCode
from hillfield.model import Outcome, RequestFailure, Step

# Nodes that are named in a refusal.
NAMED: Final = 5
UNAVAILABLE: Final[int] = HTTPStatus.SERVICE_UNAVAILABLE
BAD_GATEWAY: Final[int] = HTTPStatus.BAD_GATEWAY


def describe_refusal(
    fingerprint: bytes,
    seen: Iterable[str],
    wait: float,
    *,
    may_have_run: bool,
) -> RequestFailure:
    """Return the failure: refused at once, and told from a refusal for load.

    Of this attempt not a byte has gone to a target, so it certainly has not
    run, unless an earlier try of it `may_have_run`. `seen` are the nodes that
    saw targets end under the request, `wait` the seconds until it is tried again
    (inf: not before an operator lifts it).

    >>> describe_refusal(b'x', ['n1'], 60, may_have_run=False).outcome
    <Outcome.NOT_RUN: 'not-run'>
    """
    names = ' '.join(sorted(set(seen))[:NAMED])
    retry_after = None if may_have_run or wait == float('inf') else wait
    return RequestFailure(
        BAD_GATEWAY if may_have_run else UNAVAILABLE,
        Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        Step.ADMIT,
        '',
        int(EventCode.CRASHING_REQUEST_REFUSED),
        f'targets ended under request {fingerprint.hex()}, seen by {names}',
        retry_after,
    )
