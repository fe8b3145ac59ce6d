"""How far a request's age tells that its target hangs; pure.

This answers a crowd: requests that wait for calls, or at a target that slows
down as it fills, grow as old as those that a sick target never answers. Where
old requests are answered after all, their age says less of the next ones.
"""

from dataclasses import dataclass
from typing import Final

# What is believed at first: four long ages of five belong to requests that
# are never answered, as where targets hang for spells and are idle between.
FIRST_HUNG: Final = 4.0
FIRST_ANSWERED: Final = 1.0
# Long ages remembered: a change of the load or of the targets' sickness is
# learnt within about half of them.
REMEMBERED: Final = 40.0
# Part of the long ages that must have hung for an age to count whole: as many
# as not.
BELIEVED: Final = 0.5
# The least part of an age's weight that counts: four requests that all hang
# still convict a target that has hung for the first time.
LEAST_FACTOR: Final = 0.5


@dataclass(slots=True)
class AgeTrust:
    """Count how requests ended that had taken long.

    >>> trust = AgeTrust()
    >>> trust.factor
    1.0
    >>> for _ in range(20):
    ...     trust.note(answered=True)
    >>> trust.factor
    0.5
    """

    hung: float = FIRST_HUNG
    answered: float = FIRST_ANSWERED

    def note(self, answered: bool) -> None:
        """Count a request that took long, by whether it was answered."""
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
        truth = self.hung / (self.hung + self.answered)
        return max(LEAST_FACTOR, min(1.0, truth / BELIEVED))
