"""How many more repeats a service's requests allow; pure.

The window slides, so it may begin anywhere, before now or a little after. For
each beginning, what has been spent since and what may still be spent has to
be covered by the requests of that window, of the one before it or of the one
half a window before it, whichever has most. Requests yet to come count as none.
"""

from collections.abc import Sequence
from math import ceil
from typing import Final

from hillfield.repeats.bounds import LOAN_SHARE, SLOTS, RepeatBound

HALF: Final = SLOTS // 2
# Of what requests allow: they are counted by slots and told some tenths of a
# second late, while a window begins at any moment.
CERTAIN: Final = 0.95
# Slots after now in which what is lent may still be spent.
AHEAD: Final = ceil(LOAN_SHARE * SLOTS)


def find_room(
    bound: RepeatBound,
    pool: float,
    requests: Sequence[int],
    spent: Sequence[int],
) -> float:
    """Return how many repeats may be lent, those not yet used among them.

    `requests` and `spent` are by slots, the newest first.

    >>> bound = RepeatBound(0.2, 8, 0)
    >>> find_room(bound, 10, [50] * 16, [3] * 8)
    62.0
    >>> find_room(bound, 10, [], [])
    10.0
    """
    return min(
        pool
        + CERTAIN * bound.ratio * _count_most(requests, since)
        - _count(spent, 0, since)
        for since in range(-AHEAD, SLOTS + 1)
    )


def _count_most(requests: Sequence[int], since: int) -> int:
    """Return the most requests that count for a window of this beginning."""
    before = _count(requests, since, since + SLOTS)
    between = _count(requests, since - HALF, since + HALF)
    return max(before, between, _count(requests, 0, since))


def _count(slots: Sequence[int], first: int, last: int) -> int:
    return sum(slots[max(0, first) : max(0, last)])
