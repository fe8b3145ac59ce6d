"""What a node does about its own lateness."""

from collections.abc import Callable
from time import process_time
from typing import Final

from hillfield.clocks import Lateness
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.metrics import NodeMetrics
from hillfield.routing import DispatcherTable
from hillfield.timers import STEP

# Seconds of lateness that are recorded: at most three lines a second.
RECORDED: Final = 0.3

# Is told the present moment, and for how many seconds nothing was read.
LatenessListener = Callable[[float, float], None]


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
