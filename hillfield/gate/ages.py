"""Reliability of a request's age as evidence that its target hangs; pure.

In an overload, requests that wait for their own calls, or at a target that
slows down as it fills, grow as old as requests that an unhealthy target never
answers. Where old requests are answered after all, the ages of later ones
count less.
"""

from dataclasses import dataclass
from typing import Final

# Initial assumption: four of five requests of long age are never answered, as
# where targets hang for some time and have no load in between.
INITIAL_HUNG: Final = 4.0
INITIAL_ANSWERED: Final = 1.0
# Old requests remembered: a change of the load or of the targets' health is
# learnt within about half as many.
MAXIMUM_COUNT: Final = 40.0
# Share of the old requests that must have hung for an age to count fully: half
# of them.
FULL_WEIGHT_SHARE: Final = 0.5
# Minimum part of an age's weight that counts: four requests that all hang
# still quarantine a target that hangs for the first time.
MINIMUM_FACTOR: Final = 0.5


@dataclass(slots=True)
class AgeReliability:
    """Count old requests by whether they hung or were answered.

    >>> reliability = AgeReliability()
    >>> reliability.factor
    1.0
    >>> for _ in range(20):
    ...     reliability.record(answered=True)
    >>> reliability.factor
    0.5
    """

    hung: float = INITIAL_HUNG
    answered: float = INITIAL_ANSWERED

    def record(self, answered: bool) -> None:
        """Count an old request by whether it was answered."""
        if answered:
            self.answered += 1
        else:
            self.hung += 1
        kept = min(1, MAXIMUM_COUNT / (self.hung + self.answered))
        self.hung *= kept
        self.answered *= kept

    @property
    def factor(self) -> float:
        """Return the part of its weight with which an age counts."""
        hung_share = self.hung / (self.hung + self.answered)
        return max(MINIMUM_FACTOR, min(1.0, hung_share / FULL_WEIGHT_SHARE))
