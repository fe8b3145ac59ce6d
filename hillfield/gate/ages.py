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
FIRST_HUNG: Final = 4.0
FIRST_ANSWERED: Final = 1.0
# Old requests remembered: a change of the load or of the targets' health is
# learnt within about half as many.
REMEMBERED: Final = 40.0
# Share of the old requests that must have hung for an age to count fully: half
# of them.
BELIEVED: Final = 0.5
# Minimum part of an age's weight that counts: four requests that all hang
# still quarantine a target that hangs for the first time.
LEAST_FACTOR: Final = 0.5


@dataclass(slots=True)
class AgeTrust:
    """Count old requests by whether they hung or were answered.

    >>> reliability = AgeTrust()
    >>> reliability.factor
    1.0
    >>> for _ in range(20):
    ...     reliability.note(answered=True)
    >>> reliability.factor
    0.5
    """

    hung: float = FIRST_HUNG
    answered: float = FIRST_ANSWERED

    def note(self, answered: bool) -> None:
        """Count an old request by whether it was answered."""
        if answered:
            self.answered += 1
        else:
            self.hung += 1
        kept = min(1, REMEMBERED / (self.hung + self.answered))
        self.hung *= kept
        self.answered *= kept

    @property
    def factor(self) -> float:
        """Return the part of its weight with which an age counts."""
        hung_share = self.hung / (self.hung + self.answered)
        return max(LEAST_FACTOR, min(1.0, hung_share / BELIEVED))
