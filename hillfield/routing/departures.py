"""How quickly requests that wait get a slot."""

from collections import deque
from typing import Final

# Seconds after which departures say nothing of the present.
INTERVAL_LIFETIME: Final = 5.0
# Departures that are remembered: a longer line than the usual queue.
DEPARTURES_KEPT: Final = 128
# The fewest by which a line is judged: slots are given back in groups, so that
# a few departures may lie close together, or a pause may lie between them.
MINIMUM_DEPARTURES: Final = 8


class DepartureIntervals:
    """Measure how long departures take while requests wait.

    A line is judged by as many departures as it needs: one pause of the
    targets, or of this node, then counts for what it is.

    >>> intervals = DepartureIntervals()
    >>> for number in range(40):
    ...     intervals.record_departure(number / 100, waiting=True)
    >>> round(intervals.estimate_wait(0.4, 30, 0.05), 3)
    0.3
    """

    def __init__(self) -> None:
        """Start without a measurement."""
        self._intervals: deque[float] = deque(maxlen=DEPARTURES_KEPT)
        self._last: float | None = None
        self._updated = float('-inf')

    def record_departure(self, now: float, waiting: bool) -> None:
        """Take the end of an attempt that held a slot."""
        if not waiting:
            self._last = None
            return
        if self._last is not None:
            self._intervals.append(now - self._last)
            self._updated = now
        self._last = now

    def estimate_wait(
        self,
        now: float,
        position: int,
        service_time: float,
    ) -> float:
        """Return the seconds until the request at this position is sent.

        `service_time` is latency per slot; it stands in for the measurement
        when that is old, or too short to judge by.
        """
        if now - self._updated >= INTERVAL_LIFETIME:
            self._intervals.clear()
        if len(self._intervals) < MINIMUM_DEPARTURES:
            return position * service_time
        return position * self._average_interval(position)

    def _average_interval(self, position: int) -> float:
        judged = max(position, MINIMUM_DEPARTURES)
        latest = tuple(self._intervals)[-judged:]
        return sum(latest) / len(latest)
