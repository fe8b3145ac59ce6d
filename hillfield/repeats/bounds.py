"""The fleet's bound on repeats, and how it is divided; pure."""

from typing import Final

from msgspec import Struct

# Slots of the window in which requests and repeats are counted, and those
# that are kept: a window, and the one before it.
SLOTS: Final = 8
SLOTS_KEPT: Final = 16
# Of the slack, what nodes may use without asking: half of it in any window,
# and a quarter more for those that have just started and don't know what
# they used before. The rest is lent.
OWN_SHARE: Final = 0.5
FRESH_SHARE: Final = 0.25
# How much more than an equal share of the bound one node may use: the more,
# the better uneven demand is met, and the less is left while nodes are silent.
MOST_SHARE: Final = 2
LEAST_MOST: Final = 2
# Where less than this part of a bound is not spent, it counts as used up.
SHORT: Final = 0.05
# Of the window, for how long what is lent may be used.
LOAN_SHARE: Final = 0.2


class RepeatBound(Struct, frozen=True):
    """Bound the repeats of each service over all nodes.

    In any `window` seconds arrivals at targets beyond the first of each
    request may be `ratio` times the requests of clients, and `slack` more.

    >>> bound = RepeatBound(0.2, 10, 214)
    >>> bound.find_own(105), bound.find_fresh(105), bound.find_pool(105)
    (1, 0, 109)
    >>> bound.find_own(3), bound.find_fresh(3), bound.find_pool(3)
    (35, 17, 58)
    """

    ratio: float
    window: float
    slack: float

    @property
    def slot(self) -> float:
        """Return the seconds of one slot."""
        return self.window / SLOTS

    @property
    def loan(self) -> float:
        """Return the seconds for which what is lent may be used."""
        return self.window * LOAN_SHARE

    def find_own(self, nodes: int) -> int:
        """Return the repeats a window that a node makes unasked."""
        return int(self.slack * OWN_SHARE / nodes)

    def find_fresh(self, nodes: int) -> int:
        """Return those of a node in its first window."""
        return int(self.slack * FRESH_SHARE / nodes)

    def find_pool(self, nodes: int) -> float:
        """Return what is left of the slack for loans."""
        unasked = self.find_own(nodes) + self.find_fresh(nodes)
        return self.slack - nodes * unasked
