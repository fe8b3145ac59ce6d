"""Detection of pauses of a node's event loop.

A process that is busy or gets no processor time reads nothing meanwhile, so a
target or peer that seems silent may have sent messages that are not read yet.
"""

from collections.abc import Callable
from time import process_time
from typing import Final

from hillfield.clocks import LATENESS_TOLERANCE
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.metrics import NodeMetrics
from hillfield.routing import DispatcherTable
from hillfield.timers import STEP_SECONDS

# Least lateness in seconds that is logged: at most three lines a second.
RECORDED: Final = 0.3

# Called with the present time and the seconds in which nothing was read.
LatenessListener = Callable[[float, float], None]


class Lateness:
    """Measure the lateness of checks due every `period` seconds or less.

    >>> lateness = Lateness(0.1)
    >>> lateness.check(5.0), lateness.check(5.1), lateness.check(5.12)
    (0.0, 0.0, 0.0)
    >>> round(lateness.check(6.02), 3)
    0.8
    """

    def __init__(self, period: float) -> None:
        """Start without a check."""
        self._period = period
        self._checked: float | None = None

    def check(self, now: float) -> float:
        """Return by how many seconds this check is late; 0 if it is in time."""
        checked = self._checked
        self._checked = now
        if checked is None:
            return float()
        late = now - checked - self._period
        return late if late > LATENESS_TOLERANCE else float()


class LoopWatch:
    """Detect pauses of the node's loop before decisions based on time.

    Code that decides by the clock calls `check` first, at least every `STEP_SECONDS`
    seconds; `listeners` are called with the pause, so that they do not count
    it as silence of others.
    """

    def __init__(self, journal: Journal, metrics: NodeMetrics) -> None:
        """Start without a check."""
        self.listeners: list[LatenessListener] = []
        self._journal = journal
        self._metrics = metrics
        self._lateness = Lateness(STEP_SECONDS)
        self._worked = process_time()

    def check(self, now: float) -> None:
        """Check for a pause; `now` is in monotonic seconds."""
        worked = process_time()
        work = worked - self._worked
        self._worked = worked
        late = self._lateness.check(now)
        if not late:
            return
        self._metrics.record_late(late)
        if late >= RECORDED:
            self._record(late, work)
        for listener in self.listeners:
            listener(now, late)

    def _record(self, late: float, work: float) -> None:
        self._journal.record(
            Occurrence(
                EventCode.LOOP_LATE,
                detail=f'{late:.2f} s late, {work:.2f} s of processor time',
            ),
        )


def discount_target_pauses(
    table: DispatcherTable, now: float, seconds: float
) -> None:
    """Ignore the silence of all targets in the last `seconds`."""
    for service in table.services():
        dispatcher = table.find(service)
        if dispatcher is not None:
            dispatcher.detector.discount_pause(now, seconds)
