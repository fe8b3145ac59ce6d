"""How quickly waiting requests get a slot."""

from collections import deque
from typing import Final

# Seconds without a departure after which older intervals are dropped.
INTERVAL_LIFETIME: Final = 5.0
# Intervals kept: more than the usual queue has requests.
DEPARTURES_KEPT: Final = 128
# Fewest intervals for an estimate. Slots are released in groups: a few
# departures may lie close together, or a pause may lie between them.
MINIMUM_DEPARTURES: Final = 8


class DepartureIntervals:
    """Measure the intervals between departures while requests wait.

    The wait at a queue position is estimated from as many intervals as the
    position needs, so that a single pause of the targets or of this node is
    not counted once for each waiting request.

    >>> intervals = DepartureIntervals()
    >>> for number in range(40):
    ...     intervals.record_departure(number / 100, waiting=True)
    >>> round(intervals.estimate_wait(0.4, 30, 0.05), 3)
    0.3
    """

    def __init__(self) -> None:
        """Create a measurement without intervals."""
        self._intervals: deque[float] = deque(maxlen=DEPARTURES_KEPT)
        self._last: float | None = None
        self._updated = float('-inf')

    def record_departure(self, now: float, waiting: bool) -> None:
        """Record the end of an attempt that occupied a slot."""
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
        """Estimate the seconds until the request at this position is sent.

        `service_time` is the mean latency divided by the slots; it is used
        instead of the measurement while that is too old or too short.
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
