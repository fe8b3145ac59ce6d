"""Decide when a node compares its crash reports with another node's; pure.

A node that starts has_reports no crashing request, and each one that it lets through
makes another target exit.
"""

from typing import Final

# Seconds between comparisons of a node that has reports: the first node that
# it asks sends all that it missed.
COMPARE_INTERVAL: Final = 0.9
# Seconds after its first comparison in which a node without reports compares
# at each opportunity, since a message or its answer may be lost.
JOINING_SECONDS: Final = 6.0


class ComparisonTimer:
    """Schedule a node's comparisons; times are monotonic seconds.

    Only messages that were sent count: at first a node may know no other node.

    >>> timer = ComparisonTimer()
    >>> timer.is_due(20.0, has_reports=False)
    True
    >>> timer.record_sent(20.0)
    >>> timer.is_due(20.3, has_reports=False), timer.is_due(20.3, has_reports=True)
    (True, False)
    >>> timer.is_due(27.0, has_reports=False)
    False
    """

    def __init__(self) -> None:
        """Start without comparisons."""
        self._first: float | None = None
        self._last = float('-inf')

    def is_due(self, now: float, *, has_reports: bool) -> bool:
        """Return whether to compare; `has_reports`: this node has reports."""
        if has_reports:
            return now - self._last >= COMPARE_INTERVAL
        return self._first is None or now - self._first < JOINING_SECONDS

    def record_sent(self, now: float) -> None:
        """Record that a comparison was started."""
        self._last = now
        if self._first is None:
            self._first = now
