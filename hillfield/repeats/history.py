"""Count what happened in the last seconds; pure."""

from collections import deque
from math import floor
from typing import Final

from hillfield.repeats.bounds import SLOTS, SLOTS_KEPT

# Parts of a slot in which requests are counted, so that slots end anywhere.
FINENESS: Final = 4


class Spending:
    """Remember the moments of repeats for one window.

    >>> spending = Spending(8.0)
    >>> spending.add(1.0)
    >>> spending.add(2.5)
    >>> spending.count(3.0), spending.list_slots(3.0)
    (2, (1, 0, 1, 0, 0, 0, 0, 0))
    >>> spending.count(9.5)
    1
    """

    def __init__(self, window: float) -> None:
        """Start without any."""
        self._window = window
        self._moments: deque[float] = deque()

    def add(self, now: float) -> None:
        """Note one repeat."""
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Return how many there were in the window that ends now."""
        moments = self._moments
        while moments and moments[0] < now - self._window:
            moments.popleft()
        return len(moments)

    def list_slots(self, now: float) -> tuple[int, ...]:
        """Return how many there were by slots, the newest first."""
        if not self.count(now):
            return ()
        slots = [0 for _ in range(SLOTS)]
        for moment in self._moments:
            slot = int((now - moment) * SLOTS / self._window)
            slots[min(SLOTS - 1, slot)] += 1
        return tuple(slots)


class Arrivals:
    """Count requests of two windows.

    >>> arrivals = Arrivals(8.0)
    >>> arrivals.add(1.0)
    >>> arrivals.add(2.1)
    >>> arrivals.list_slots(2.2)
    (1, 1)
    >>> arrivals.list_slots(40)
    ()
    """

    def __init__(self, window: float) -> None:
        """Start without any."""
        self._width = window / SLOTS / FINENESS
        self._counts: dict[int, int] = {}

    def add(self, now: float) -> None:
        """Note one request."""
        place = floor(now / self._width)
        self._counts[place] = self._counts.get(place, 0) + 1

    def list_slots(self, now: float) -> tuple[int, ...]:
        """Return how many there were by slots, the newest first."""
        newest = floor(now / self._width)
        slots = [0 for _ in range(SLOTS_KEPT)]
        for place in tuple(self._counts):
            slot = (newest - place) // FINENESS
            if slot < SLOTS_KEPT:
                slots[slot] += self._counts[place]
            else:
                self._counts.pop(place)
        while slots and not slots[-1]:
            slots.pop()
        return tuple(slots)
