"""How long a process did not look at what had come for it; pure.

A process that is busy, or has no processor, reads nothing meanwhile: what
others sent lies unread, and who seems silent may have spoken.
"""

from typing import Final

# Seconds by which a look may be late without anything having been missed.
TOLERATED: Final = 0.05


class Lateness:
    """Follow looks that are due each `period` seconds, or more often.

    >>> lateness = Lateness(0.1)
    >>> lateness.look(5.0), lateness.look(5.1), lateness.look(5.12)
    (0.0, 0.0, 0.0)
    >>> round(lateness.look(6.02), 3)
    0.8
    """

    def __init__(self, period: float) -> None:
        """Start without a look."""
        self._period = period
        self._looked: float | None = None

    def look(self, now: float) -> float:
        """Return by how many seconds this look is late; 0: it is in time."""
        looked = self._looked
        self._looked = now
        if looked is None:
            return float()
        late = now - looked - self._period
        return late if late > TOLERATED else float()
