"""Measure what clients ask of the store stand-in."""

from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from msgspec import Struct

from hillfield.store.counters import CallKind


class CallCell(Struct, frozen=True, order=True):
    """Name what is counted together; `second` since the log's start."""

    second: int
    kind: CallKind
    client: str


class CallTotal(Struct, frozen=True):
    """Hold one row of the measurement."""

    second: int
    kind: CallKind
    client: str
    calls: int


class CallLog:
    """Count calls by second, kind and client, bounded in memory."""

    def __init__(self, start: float, cell_limit: int = 100_000) -> None:
        """Count from this time on."""
        self.watches: Counter[str] = Counter()
        self.most_watches = 0
        self.dropped = 0
        self._start = start
        self._cell_limit = cell_limit
        self._cells: Counter[CallCell] = Counter()

    def note_call(self, now: float, kind: CallKind, client: str) -> None:
        """Count one call."""
        cell = CallCell(int(now - self._start), kind, client)
        if cell not in self._cells and len(self._cells) >= self._cell_limit:
            self.dropped += 1
            return
        self._cells[cell] += 1

    @contextmanager
    def watching(self, client: str) -> Iterator[None]:
        """Count a waiting watch while the body runs."""
        self.watches[client] += 1
        self.most_watches = max(self.most_watches, self.watches.total())
        with ExitStack() as stack:
            stack.callback(self._end_watch, client)
            yield

    def list_totals(self) -> tuple[CallTotal, ...]:
        """Return all rows in order of time."""
        return tuple(
            CallTotal(cell.second, cell.kind, cell.client, calls)
            for cell, calls in sorted(self._cells.items())
        )

    def count(self, *kinds: CallKind) -> int:
        """Return all calls of these kinds (none given: of all kinds)."""
        return sum(
            calls
            for cell, calls in self._cells.items()
            if not kinds or cell.kind in kinds
        )

    def find_peak(self, *kinds: CallKind) -> int:
        """Return the most calls of these kinds in one second."""
        seconds: Counter[int] = Counter()
        for cell, calls in self._cells.items():
            if not kinds or cell.kind in kinds:
                seconds[cell.second] += calls
        return max(seconds.values(), default=0)

    def _end_watch(self, client: str) -> None:
        self.watches[client] -= 1
