"""Remember which requests a target had when it ended; pure."""

from collections import deque
from typing import Final

from msgspec import Struct

from hillfield.model import TargetId

# Seconds before the last broken connection within which others count as lost
# by the same end: a process that ends closes all its connections at once, and
# a busy node reads that within a tenth of this.
ONE_END: Final = 0.5
# Seconds after an end within which what is still read of it belongs to it.
SAME_END: Final = 1.0
# Runs without an answer that are kept of one target: more than its slots.
KEPT: Final = 64


class Run(Struct, frozen=True):
    """Hold a request that a target began and never answered.

    `ended` is in monotonic seconds, `lasted` the seconds from its beginning
    to its end.
    """

    fingerprint: bytes
    target: TargetId
    ended: float
    lasted: float


class TargetEnd(Struct, frozen=True):
    """Say that a target ended at a moment, and under which requests.

    `number` tells this end from all others seen by the same node: the wall
    clock in milliseconds when it was noticed.
    """

    target: TargetId
    number: int
    runs: tuple[Run, ...]


class LostRuns:
    """Keep the runs that ended without an answer, until their target did.

    A broken connection says nothing by itself: sick targets break single
    connections and go on. Only with the target's end its runs are told.

    >>> lost = LostRuns()
    >>> target = TargetId('till', 'a:1', 7)
    >>> lost.note(Run(b'x', target, 10.0, 0.1))
    >>> lost.note(Run(b'y', target, 14.0, 0.1))
    >>> [run.fingerprint for run in lost.close(14.1, 14100, target).runs]
    [b'y']
    >>> lost.close(15.0, 15000, target) is None
    True
    """

    def __init__(self) -> None:
        """Start without any."""
        self._runs: deque[Run] = deque(maxlen=KEPT)
        self._last = float('-inf')
        self._number = 0

    def note(self, run: Run) -> None:
        """Note a run that ended without an answer."""
        if run.fingerprint:
            self._runs.append(run)

    def close(
        self,
        now: float,
        wall: int,
        target: TargetId,
    ) -> TargetEnd | None:
        """Return a target's end, or None where no run was lost by it.

        What is read later of the same end comes under the same number, so it
        never counts as a second one.
        """
        lost = [run for run in self._runs if run.target == target]
        self._runs.clear()
        if not lost:
            return None
        if now - self._last > SAME_END:
            self._number = wall
        self._last = now
        since = max(run.ended for run in lost) - ONE_END
        runs = tuple(run for run in lost if run.ended >= since)
        return TargetEnd(target, self._number, runs)
