"""Decide when a node asks another what it has missed; pure.

A node that starts knows of no request that ends targets, and each one that it
lets through ends a target more.
"""

from typing import Final

# Seconds between questions of a node that knows of some: what it missed, it
# hears from the first node that it asks.
ASK_EVERY: Final = 0.9
# Seconds after its first question in which a node asks although it knows of
# nothing: each time it looks, since a question or its answer may be lost.
JOINING: Final = 6.0


class Asking:
    """Follow a node's questions; times are monotonic seconds.

    Only what went out counts: a node may look before it knows of any other.

    >>> asking = Asking()
    >>> asking.is_due(20.0, knows=False)
    True
    >>> asking.note_asked(20.0)
    >>> asking.is_due(20.3, knows=False), asking.is_due(20.3, knows=True)
    (True, False)
    >>> asking.is_due(27.0, knows=False)
    False
    """

    def __init__(self) -> None:
        """Start without any."""
        self._first: float | None = None
        self._last = float('-inf')

    def is_due(self, now: float, *, knows: bool) -> bool:
        """Tell whether to ask; `knows`: there is anything to compare."""
        if knows:
            return now - self._last >= ASK_EVERY
        return self._first is None or now - self._first < JOINING

    def note_asked(self, now: float) -> None:
        """Note that a question went out."""
        self._last = now
        if self._first is None:
            self._first = now
