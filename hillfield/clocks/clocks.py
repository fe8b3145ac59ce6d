"""The clock for deadlines and durations, and the one for dates.

A host may be suspended for seconds, while its CLOCK_MONOTONIC stands still. A
node that used it would resume with deadlines, leases and evidence that look as
fresh as before, and would hand targets more time than is left.
"""

from time import CLOCK_BOOTTIME, clock_gettime, time_ns
from typing import Final

# Seconds by which due work may be late without anything having been missed.
LATENESS_TOLERANCE: Final = 0.05
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


def monotonic() -> float:
    """Return seconds that never decrease and include suspensions.

    For all that ends after a time: deadlines, heartbeats, the age of evidence,
    pauses, limits of accounts. The values of two hosts are not comparable.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def read_wall() -> int:
    """Return the milliseconds since 1970, for dates that other hosts read.

    The clock may be set back or ahead, so no wait may depend on it.
    """
    return time_ns() // _NANOSECONDS_PER_MILLISECOND
