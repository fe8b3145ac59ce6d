"""The time line of one process, with bounded memory and log lines."""

from collections import deque
from collections.abc import Callable
from itertools import chain
from typing import Final

from hillfield.clocks import read_wall
from hillfield.events.clock import HybridClock, Stamp
from hillfield.events.entries import (
    TimelineEntry,
    TimelineFilter,
    make_entry,
    sort_entries,
)
from hillfield.events.limits import LineLimit
from hillfield.events.logs import Logger, make_logger
from hillfield.events.occurrences import Occurrence
from hillfield.settings import NodeSettings

EVERYTHING: Final = TimelineFilter()


class Timeline:
    """Keep the newest events and log them; implements `Journal`.

    When it is full, the oldest event of the most frequent code is dropped, so
    that a flood of one code does not displace rare events.
    """

    def __init__(
        self,
        settings: NodeSettings,
        wall: Callable[[], int] = read_wall,
        logger: Logger | None = None,
    ) -> None:
        """Start empty; `wall` returns milliseconds."""
        self.count = 0
        self._settings = settings
        self._wall = wall
        self._logger = logger or make_logger(settings)
        self._clock = HybridClock()
        self._limit = LineLimit(settings.timeline)
        self._events: dict[int, deque[TimelineEntry]] = {}

    def record(self, occurrence: Occurrence) -> None:
        """Stamp, keep and log an event at the present time."""
        wall = self._wall()
        stamp = self._clock.tick(wall)
        entry = make_entry(stamp, self._settings.name, occurrence)
        self._keep(entry)
        suppressed = self._limit.admit(wall, entry.code)
        if suppressed is not None:
            self._logger.write(entry, suppressed)

    def stamp(self) -> Stamp:
        """Return the stamp to send with a message."""
        return self._clock.tick(self._wall())

    def merge(self, remote: Stamp) -> Stamp:
        """Merge the stamp of a received message."""
        return self._clock.merge(self._wall(), remote)

    def select(
        self,
        wanted: TimelineFilter = EVERYTHING,
    ) -> tuple[TimelineEntry, ...]:
        """Return the events that match, in order."""
        kept = chain.from_iterable(self._events.values())
        return sort_entries(filter(wanted.matches, kept))

    def _keep(self, entry: TimelineEntry) -> None:
        self._events.setdefault(entry.code, deque()).append(entry)
        self.count += 1
        if self.count > self._settings.timeline.events:
            max(self._events.values(), key=len).popleft()
            self.count -= 1
