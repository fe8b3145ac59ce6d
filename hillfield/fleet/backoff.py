"""When to do again what has not helped yet; time is a value."""

from typing import Final

DOUBLING: Final = 2


class Backoff:
    """Be due while something is not well, ever less often.

    What has never been well has the first pause to become so.

    >>> backoff = Backoff(first=1, longest=4)
    >>> [backoff.is_due(now, well=False) for now in (0, 0.5, 1, 2, 3)]
    [False, False, True, True, False]
    >>> backoff.is_due(4, well=True), backoff.is_due(4.1, well=False)
    (False, True)
    """

    def __init__(self, first: float, longest: float) -> None:
        """Start; both are seconds."""
        self._first = first
        self._longest = longest
        self._pause = first
        self._next: float | None = None

    def is_due(self, now: float, *, well: bool) -> bool:
        """Tell whether to try now; a try puts the next one off."""
        if well:
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
