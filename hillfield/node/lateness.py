"""How long a node did not look at what had come for it, and what follows.

A process that is busy, or has no processor, reads nothing meanwhile: what
others sent lies unread, and who seems silent may have spoken.
"""

from collections.abc import Callable
from time import process_time
from typing import Final

from hillfield.clocks import TOLERATED
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.metrics import NodeMetrics
from hillfield.routing import DispatcherTable
from hillfield.timers import STEP

# Seconds of lateness that are recorded: at most three lines a second.
RECORDED: Final = 0.3

# Is told the present moment, and for how many seconds nothing was read.
LatenessListener = Callable[[float, float], None]


class Lateness:
    """Follow looks that are due each `period` seconds, or more often.

    >>> lateness = Lateness(0.1)
    >>> lateness.look(5.0), lateness.look(5.1), lateness.look(5.12)
    (0.0, 0.0, 0.0)
    >>> round(lateness.look(6.02), 3)
    0.8
    """

    def __init__(self, period: float) -> None:
        """Start without a look."""
        self._period = period
        self._looked: float | None = None

    def look(self, now: float) -> float:
        """Return by how many seconds this look is late; 0: it is in time."""
        looked = self._looked
        self._looked = now
        if looked is None:
            return float()
        late = now - looked - self._period
        return late if late > TOLERATED else float()


class LoopWatch:
    """Notice when the node's loop was late, and tell it before it judges.

    Whoever judges by the clock calls `look` first, each `STEP` or more often;
    `listeners` are told, so that what lay unread counts as no silence.
    """

    def __init__(self, journal: Journal, metrics: NodeMetrics) -> None:
        """Start without a look."""
        self.listeners: list[LatenessListener] = []
        self._journal = journal
        self._metrics = metrics
        self._lateness = Lateness(STEP)
        self._worked = process_time()

    def look(self, now: float) -> None:
        """Take the moment, in monotonic seconds."""
        worked = process_time()
        work = worked - self._worked
        self._worked = worked
        late = self._lateness.look(now)
        if not late:
            return
        self._metrics.note_late(late)
        if late >= RECORDED:
            self._record(late, work)
        for listener in self.listeners:
            listener(now, late)

    def _record(self, late: float, work: float) -> None:
        self._journal.record(
            Occurrence(
                EventCode.LOOP_LATE,
                detail=f'{late:.2f} s late, {work:.2f} s of them at work',
            ),
        )


def excuse_targets(table: DispatcherTable, now: float, seconds: float) -> None:
    """Hold no silence of the last seconds against targets, of any service."""
    for service in table.services():
        dispatcher = table.find(service)
        if dispatcher is not None:
            dispatcher.board.excuse(now, seconds)
