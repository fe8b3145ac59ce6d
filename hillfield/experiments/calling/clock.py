"""Modelled time."""

from collections.abc import Callable
from heapq import heappop, heappush

Act = Callable[[], None]
_Due = tuple[float, int, Act]


class Clock:
    """Do things at their moments, in order; `now` is seconds."""

    def __init__(self) -> None:
        """Start at 0 with nothing to do."""
        self.now: float = 0
        self._due: list[_Due] = []
        self._count = 0

    def call_at(self, moment: float, act: Act) -> None:
        """Do something at a moment."""
        self._count += 1
        heappush(self._due, (moment, self._count, act))

    def call_later(self, seconds: float, act: Act) -> None:
        """Do something after so many seconds."""
        self.call_at(self.now + seconds, act)

    def run(self, until: float) -> None:
        """Do what is due up to a moment."""
        while self._due and self._due[0][0] <= until:
            due = heappop(self._due)
            self.now = due[0]
            due[-1]()
        self.now = until
