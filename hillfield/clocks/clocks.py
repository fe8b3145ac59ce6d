"""The clock by which nodes decide, and the one by which they date.

A host may be suspended for seconds. Its steady clock stands still meanwhile,
so a node that decides by it wakes with deadlines, leases and evidence that look
as fresh as before its sleep, and hands targets more time than is left.
"""

from time import CLOCK_BOOTTIME, clock_gettime, time_ns
from typing import Final

# Seconds by which what is due may come late without anything having been missed.
TOLERATED: Final = 0.05
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


def monotonic() -> float:
    """Return seconds that never go back, those of a suspension among them.

    For all that ends after a time: deadlines, heartbeats, the age of evidence,
    pauses, limits of accounts. It says nothing between two hosts.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def read_wall() -> int:
    """Return the milliseconds since 1970: for dates that other hosts read.

    It may be set back or ahead, so no wait ends by it.
    """
    return time_ns() // _NANOSECONDS_PER_MILLISECOND
