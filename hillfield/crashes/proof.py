"""Decide when a request is known to end the targets that run it; pure.

The load: a request that ends each target which begins to run it comes again
and again at any node, beside harmless ones that run on the same targets when
they end; and common requests run on many targets when a failure domain loses
power. Refusing too late costs the service a target for seconds each time;
refusing a harmless request costs its callers an answer.
"""

from collections.abc import Iterable
from typing import Final

from msgspec import Struct

# Targets that have to end under a request: users grant three. With two, each
# request that ran beside a harmful one and was sent on with it would do.
ENDS_NEEDED: Final = 3
# Ends that have to come one after the other, each under a run that began when
# the one before had ended. A failure domain that loses power ends many targets
# under a common request at one moment, and that is one.
IN_TURN: Final = 2
# Seconds by which moments told by other nodes may be off: a datagram's way and
# the time in which a busy node reads it.
TOLERANCE: Final = 0.02
# Seconds for which a request is refused after the last end under it, before it
# is tried once: a new release of the target may bear it. Twice as long after
# each trial that ended another target.
HOLD: Final = 3600.0
# Trials of one request: users grant three runs beyond the third end, one of
# them is left for what crossed the news.
TRIALS: Final = 2


class SeenEnd(Struct, frozen=True):
    """Hold when a run began and ended its target, in monotonic seconds."""

    began: float
    ended: float


def is_harmful(ends: Iterable[SeenEnd]) -> bool:
    """Tell whether a request is to be refused.

    >>> alone = [SeenEnd(0, 1), SeenEnd(2, 3), SeenEnd(4, 5)]
    >>> is_harmful(alone), is_harmful(alone[:2])
    (True, False)
    >>> is_harmful([SeenEnd(0, 5), SeenEnd(1, 5), SeenEnd(2, 5)])
    False
    """
    ordered = sorted(ends, key=_read_ended)
    if len(ordered) < ENDS_NEEDED:
        return False
    return count_in_turn(ordered) >= IN_TURN


def count_in_turn(ordered: Iterable[SeenEnd]) -> int:
    """Return how many ends came one after the other, at the most."""
    count = 0
    last = float('-inf')
    for end in ordered:
        if end.began >= last - TOLERANCE:
            count += 1
            last = end.ended
    return count


def find_hold(ends: Iterable[SeenEnd]) -> float:
    """Return the seconds of refusing after the last end; inf: until lifted.

    >>> find_hold([SeenEnd(0, 1)]) == HOLD
    True
    >>> find_hold([SeenEnd(0, 1), SeenEnd(HOLD, HOLD + 1)]) / HOLD
    2.0
    """
    moments = sorted(end.ended for end in ends)
    trials = sum(map(_is_trial, moments, moments[1:]))
    return HOLD * 2**trials if trials < TRIALS else float('inf')


def _is_trial(before: float, ended: float) -> bool:
    """Tell whether an end came so late that its run was a trial."""
    return ended - before >= HOLD - TOLERANCE


def _read_ended(end: SeenEnd) -> float:
    return end.ended
