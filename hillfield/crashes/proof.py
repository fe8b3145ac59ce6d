"""Decide when exits prove that a request makes its targets exit; pure.

A harmful request, which makes each target exit that begins to run it, is sent
again and again to any node, beside harmless requests that run on the same
targets when they exit. And common requests run on many targets when a failure
domain loses power. Refusing too late costs the service a target for seconds
each time; refusing a harmless request costs its callers an answer.
"""

from collections.abc import Iterable
from typing import Final

from msgspec import Struct

# Exits required during a request; up to three are acceptable. With two, each
# request that ran beside a harmful one and was retried together with it would
# be refused.
ENDS_NEEDED: Final = 3
# Exits required in sequence, each during a run that began after the exit
# before. A loss of power of a failure domain makes many targets exit during a
# common request at one moment, which counts as one.
IN_TURN: Final = 2
# Seconds by which times reported by other nodes may be off: the delay of a
# datagram and of a busy node that reads it.
TOLERANCE: Final = 0.02
# Seconds for which a request is refused after the last exit, before it is
# tried once: a new release of the target may handle it. Doubled after each
# trial that made another target exit.
HOLD: Final = 3600.0
# Trials of one request: three runs after the third exit are acceptable, one of
# which is left for requests sent before the reports arrived.
TRIALS: Final = 2


class SeenEnd(Struct, frozen=True):
    """Hold when a run began and its target exited, in monotonic seconds."""

    began: float
    ended: float


def is_harmful(exits: Iterable[SeenEnd]) -> bool:
    """Return whether a request is to be refused.

    >>> alone = [SeenEnd(0, 1), SeenEnd(2, 3), SeenEnd(4, 5)]
    >>> is_harmful(alone), is_harmful(alone[:2])
    (True, False)
    >>> is_harmful([SeenEnd(0, 5), SeenEnd(1, 5), SeenEnd(2, 5)])
    False
    """
    ordered = sorted(exits, key=_read_ended)
    if len(ordered) < ENDS_NEEDED:
        return False
    return count_in_turn(ordered) >= IN_TURN


def count_in_turn(ordered: Iterable[SeenEnd]) -> int:
    """Return the largest number of exits in sequence."""
    count = 0
    last_ended = float('-inf')
    for seen_exit in ordered:
        if seen_exit.began >= last_ended - TOLERANCE:
            count += 1
            last_ended = seen_exit.ended
    return count


def find_hold(exits: Iterable[SeenEnd]) -> float:
    """Return how long to refuse after the last exit, in seconds.

    Infinite after the last trial: only an operator may lift the refusal.

    >>> find_hold([SeenEnd(0, 1)]) == HOLD
    True
    >>> find_hold([SeenEnd(0, 1), SeenEnd(HOLD, HOLD + 1)]) / HOLD
    2.0
    """
    exit_times = sorted(seen_exit.ended for seen_exit in exits)
    trials = sum(map(_is_trial, exit_times, exit_times[1:]))
    return HOLD * 2**trials if trials < TRIALS else float('inf')


def _is_trial(before: float, ended: float) -> bool:
    """Return whether an exit came so late that its run was a trial."""
    return ended - before >= HOLD - TOLERANCE


def _read_ended(seen_exit: SeenEnd) -> float:
    return seen_exit.ended
