"""When a gate tells of its target's room; pure.

This answers the load of targets that are full: without it a request is handed
from gate to gate just to hear so, across failure domains with its whole body.
Only what changes a choice is told, so that a report costs little beside the
requests that it spares.
"""

from math import ceil
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.loadreports.reports import Held, LoadReport
from hillfield.routing.budgets import Bucket

# Seconds between two reports to the own failure domain: a request takes ten
# times as long.
NEAR_GAP: Final = 0.01
# Seconds between two reports to another failure domain, whose bytes are dear;
# one and the requests that it spares weigh 0.1 and 2 kB.
FAR_GAP: Final = 0.25
# Seconds after which a report is told again, twice: datagrams get lost.
NEAR_REFRESH: Final = 2.0
FAR_REFRESH: Final = 4.0
REPEATS: Final = 2
# Seconds between further tellings of what has not changed. A target that is
# not told of counts as one with room, so only those that have just started
# miss it. With 93 nodes, half of the 80 reports that each took a second on a
# calm day told nothing new.
LATER_REFRESH: Final = 10.0
# Datagrams a second that a node may send, and save up: 90 bytes each, so at
# most 3.6 KB a second for long.
DATAGRAM_RATE: Final = 40.0
DATAGRAM_BURST: Final = 120.0
# Tellings of one report for which datagrams are left before one that can
# wait: a target that is sick, or has room again, is told at once. Where 40
# nodes listen, a target that was told as full and could not be told as free
# for a second would stay idle.
SPARED_TELLINGS: Final = 1
# Turns of waiting requests that are told apart.
MOST_TURNS: Final = 3


class _Told(Struct, frozen=True):
    """Hold what a choice depends on, and when it was told.

    `times` counts how often it has been told.
    """

    has_room: bool
    turns: int
    held: Held
    moment: float
    times: int = 1

    def differs(self, other: '_Told') -> bool:
        """Tell whether a choice depends on which of the two holds."""
        mine = (self.has_room, self.turns, self.held)
        return mine != (other.has_room, other.turns, other.held)


class ReportPacer:
    """Decide when a report is due; times are seconds."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._near: _Told | None = None
        self._far: _Told | None = None
        self._bucket = Bucket(DATAGRAM_BURST, DATAGRAM_BURST)
        self._filled: float = 0

    def is_due_near(
        self,
        now: float,
        report: LoadReport,
        slots: int,
        listeners: int,
    ) -> bool:
        """Tell whether the own failure domain is to be told, and note it."""
        state = _sum_up(now, report, slots)
        if not _is_news(self._near, state, NEAR_GAP, NEAR_REFRESH):
            return False
        spared = 0
        if not _is_pressing(self._near, state):
            spared = SPARED_TELLINGS * listeners
        if not self._take(now, listeners, spared):
            return False
        self._near = _count_telling(self._near, state)
        return True

    def is_due_far(self, now: float, report: LoadReport) -> bool:
        """Tell whether other failure domains are to be told, and note it."""
        state = _sum_up(now, report, 0)
        if not _is_news(self._far, state, FAR_GAP, FAR_REFRESH):
            return False
        self._far = _count_telling(self._far, state)
        return True

    def _take(self, now: float, datagrams: int, spared: int) -> bool:
        self._bucket.deposit((now - self._filled) * DATAGRAM_RATE)
        self._filled = now
        if not self._bucket.can_take(datagrams + spared):
            return False
        return self._bucket.take(datagrams)


def _sum_up(now: float, report: LoadReport, slots: int) -> _Told:
    turns = ceil(report.waiting / slots) if slots else 0
    has_room = report.free > 0
    return _Told(has_room, min(MOST_TURNS, turns), report.held, now)


def _is_pressing(told: _Told | None, state: _Told) -> bool:
    """Tell whether a choice would go wrong for long without the news."""
    if told is None or told.held != state.held:
        return True
    return state.has_room and not told.has_room


def _is_news(
    told: _Told | None,
    state: _Told,
    gap: float,
    refresh: float,
) -> bool:
    if told is None:
        return True
    passed = state.moment - told.moment
    if told.differs(state):
        return passed >= gap
    if told.times > REPEATS:
        refresh = LATER_REFRESH
    return passed >= refresh


def _count_telling(told: _Told | None, state: _Told) -> _Told:
    if told is None or told.differs(state):
        return state
    return replace(state, times=told.times + 1)
