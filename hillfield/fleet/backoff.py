"""Exponential backoff between attempts; time is a value."""

from typing import Final

DOUBLING: Final = 2


class Backoff:
    """Space out attempts with pauses that double until one succeeds.

    The first attempt is due one pause after the first call without success.

    >>> backoff = Backoff(first=1, longest=4)
    >>> [backoff.is_due(now, succeeded=False) for now in (0, 0.5, 1, 2, 3)]
    [False, False, True, True, False]
    >>> backoff.is_due(4, succeeded=True)
    False
    >>> backoff.is_due(4.1, succeeded=False)
    True
    """

    def __init__(self, first: float, longest: float) -> None:
        """Set the first and the longest pause, in seconds."""
        self._first = first
        self._longest = longest
        self._pause = first
        self._next: float | None = None

    def is_due(self, now: float, *, succeeded: bool) -> bool:
        """Return whether to try now; if so, schedule the next attempt."""
        if succeeded:
            self._pause = self._first
            self._next = now
            return False
        if self._next is None:
            self._next = now + self._first
        if now < self._next:
            return False
        self._next = now + self._pause
        self._pause = min(self._longest, self._pause * DOUBLING)
        return True
