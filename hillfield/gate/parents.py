"""Find the run that made a call; pure.

A target makes its calls as any client of its host does, with ids of their own.
They expire when the run that makes them does, which tells them apart.
"""

from collections.abc import Iterable
from typing import Final

from hillfield.routing.records import AttemptRecord

# Seconds by which the expiry of a call may differ from that of its run: both
# are passed on as the time left, in whole milliseconds, by processes that may
# have to wait for a processor meanwhile.
EXPIRY_TOLERANCE: Final = 0.05


def find_parent(
    attempts: Iterable[AttemptRecord], expires: float
) -> AttemptRecord | None:
    """Return the attempt whose expiry is nearest, if it is near enough."""
    nearest = min(
        attempts,
        key=lambda attempt: _measure_difference(attempt, expires),
        default=None,
    )
    if nearest is None:
        return None
    near = _measure_difference(nearest, expires) <= EXPIRY_TOLERANCE
    return nearest if near else None


def _measure_difference(attempt: AttemptRecord, expires: float) -> float:
    return abs(attempt.record.arrival.expires - expires)
