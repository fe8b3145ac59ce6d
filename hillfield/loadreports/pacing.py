"""When a gate tells of its target's room; pure.

This answers the load of targets that are full: without it a request is handed
from gate to gate just to hear so, across failure domains with its whole body.
Only what changes a choice is told, so that a report costs little beside the
requests that it spares.
"""

from enum import Enum, auto
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
# most 9 KB a second for long, none of them to another failure domain.
DATAGRAM_RATE: Final = 100.0
DATAGRAM_BURST: Final = 120.0
# Of those, datagrams a second for how many wait: it changes as often as the
# room does, and moves a choice less.
LINE_RATE: Final = 40.0
# Tellings of one report for which datagrams are left before one that can
# wait: a target that is sick, or has room again, is told at once. Where 40
# nodes listen, a target that was told as full and could not be told as free
# for a second would stay idle.
SPARED_TELLINGS: Final = 1
# Turns of waiting requests that are told apart.
MOST_TURNS: Final = 3


class _Worth(Enum):
    """Say what news is worth.

    `PRESSING`: a choice would go wrong for long without it; `ROOM`: requests
    would be declined until one of them brings it back; `LINE`: only how many
    wait, or nothing new.
    """

    PRESSING = auto()
    ROOM = auto()
    LINE = auto()


class _Told(Struct, frozen=True):
    """Hold what a choice depends on, and when it was told.

    `times` counts how often it has been told, `mixed` says that an answer has
    told one node something else since.
    """

    has_room: bool
    turns: int
    held: Held
    moment: float
    times: int = 1
    mixed: bool = False

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
        self._line = Bucket(DATAGRAM_BURST, DATAGRAM_BURST)
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
        self._pass_time(now)
        if not self._take(_weigh(self._near, state), listeners):
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

    def note_answer(self, now: float, report: LoadReport) -> None:
        """Note what an answer tells one node.

        When the room is again as all were told, that node is to hear of it:
        it would go on to avoid a target that is free again.
        """
        answered = _sum_up(now, report, 0)
        self._near = _mix(self._near, answered)
        self._far = _mix(self._far, answered)

    def _pass_time(self, now: float) -> None:
        passed = now - self._filled
        self._filled = now
        self._bucket.deposit(passed * DATAGRAM_RATE)
        self._line.deposit(passed * LINE_RATE)

    def _take(self, worth: _Worth, datagrams: int) -> bool:
        spared = 0 if worth is _Worth.PRESSING else SPARED_TELLINGS * datagrams
        if not self._bucket.can_take(datagrams + spared):
            return False
        if worth is _Worth.LINE and not self._line.take(datagrams):
            return False
        return self._bucket.take(datagrams)


def _sum_up(now: float, report: LoadReport, slots: int) -> _Told:
    turns = ceil(report.waiting / slots) if slots else 0
    has_room = report.free > 0
    return _Told(has_room, min(MOST_TURNS, turns), report.held, now)


def _weigh(told: _Told | None, state: _Told) -> _Worth:
    """Return what the news is worth to those who choose."""
    if told is None or told.held != state.held:
        return _Worth.PRESSING
    if state.has_room:
        changed = told.mixed or not told.has_room
        return _Worth.PRESSING if changed else _Worth.LINE
    return _Worth.ROOM if told.has_room else _Worth.LINE


def _is_news(
    told: _Told | None,
    state: _Told,
    gap: float,
    refresh: float,
) -> bool:
    if told is None:
        return True
    passed = state.moment - told.moment
    if told.mixed or told.differs(state):
        return passed >= gap
    if told.times > REPEATS:
        refresh = LATER_REFRESH
    return passed >= refresh


def _mix(told: _Told | None, answered: _Told) -> _Told | None:
    if told is None or told.mixed:
        return told
    same = (told.has_room, told.held) == (answered.has_room, answered.held)
    return told if same else replace(told, mixed=True)


def _count_telling(told: _Told | None, state: _Told) -> _Told:
    if told is None or told.mixed or told.differs(state):
        return state
    return replace(state, times=told.times + 1)
