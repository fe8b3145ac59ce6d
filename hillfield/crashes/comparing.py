"""Decide when a node compares its crash reports with another node's; pure.

A node that starts knows no crashing request, and each one that it lets through
makes another target exit.
"""

from typing import Final

# Seconds between comparisons of a node that has reports: the first node that
# it asks sends all that it missed.
COMPARE_INTERVAL: Final = 0.9
# Seconds after its first comparison in which a node without reports compares
# at each opportunity, since a message or its answer may be lost.
JOINING_SECONDS: Final = 6.0


class Asking:
    """Schedule a node's comparisons; times are monotonic seconds.

    Only messages that were sent count: at first a node may know no other node.

    >>> timer = Asking()
    >>> timer.is_due(20.0, knows=False)
    True
    >>> timer.note_asked(20.0)
    >>> timer.is_due(20.3, knows=False), timer.is_due(20.3, knows=True)
    (True, False)
    >>> timer.is_due(27.0, knows=False)
    False
    """

    def __init__(self) -> None:
        """Start without comparisons."""
        self._first: float | None = None
        self._last = float('-inf')

    def is_due(self, now: float, *, knows: bool) -> bool:
        """Return whether to compare; `knows`: this node has reports."""
        if knows:
            return now - self._last >= COMPARE_INTERVAL
        return self._first is None or now - self._first < JOINING_SECONDS

    def note_asked(self, now: float) -> None:
        """Record that a comparison was started."""
        self._last = now
        if self._first is None:
            self._first = now
