"""Decide when a gate reports its target's capacity; pure.

Without reports, requests for full targets are forwarded from gate to gate only
to be declined, across failure domains with the complete body. Only changes
that affect a choice are reported, so that a report costs little beside the
requests it saves.
"""

from enum import Enum, auto
from math import ceil
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.loadreports.reports import (
    ENOUGH_REPEATS,
    LoadReport,
    WithheldWork,
)
from hillfield.routing.budgets import Bucket

# Seconds between two reports to the own failure domain: a request takes ten
# times as long.
NEAR_INTERVAL: Final = 0.01
# Seconds between two reports to another failure domain, over links whose bytes
# cost much; a report and the requests it saves weigh 0.1 and 2 kB.
FAR_INTERVAL: Final = 0.25
# Seconds after which a report is repeated, twice: datagrams get lost.
NEAR_REFRESH: Final = 2.0
FAR_REFRESH: Final = 4.0
REPEATS: Final = 2
# Seconds between further repetitions of an unchanged report. A target without
# a report counts as free, so only nodes that have just started lack it. With
# 93 nodes under usual load, half of the 80 reports that each sent per second
# contained no change.
UNCHANGED_REFRESH: Final = 10.0
# Datagrams per second that a node may send, and save up: 90 bytes each, so at
# most 9 KB per second on average, none of them to another failure domain.
DATAGRAM_RATE: Final = 100.0
DATAGRAM_BURST: Final = 120.0
# Of those, datagrams per second for the queue length: it changes as often as
# the free capacity does, and affects a choice less.
QUEUE_RATE: Final = 40.0
# Repetitions of one report for which datagrams are reserved before one that
# can wait: a quarantined target, or one with capacity again, is reported at
# once. With 40 receivers, a target that was reported as full and could not be
# reported as free for a second would stay idle.
RESERVED_REPORTS: Final = 1
# Queue lengths in rounds of the slots that are distinguished.
MAXIMUM_ROUNDS: Final = 3


class _Importance(Enum):
    """Rank what a change is worth.

    `URGENT`: without it, choices would be wrong for long; `CAPACITY`: requests
    would be declined until one of them brings the change back; `QUEUE`: only
    the queue length changed, or nothing.
    """

    URGENT = auto()
    CAPACITY = auto()
    QUEUE = auto()


class _SentState(Struct, frozen=True):
    """Hold what a choice depends on, and when it was sent.

    `times` counts how often it was sent; `outdated` says that an answer has
    reported something else to one node since.
    """

    has_capacity: bool
    rounds: int
    held: WithheldWork
    sent_at: float
    repeats: int = ENOUGH_REPEATS
    times: int = 1
    outdated: bool = False

    def differs(self, other: '_SentState') -> bool:
        """Return whether a choice depends on which of the two applies."""
        own = (self.has_capacity, self.rounds, self.held, self.repeats)
        return own != (
            other.has_capacity,
            other.rounds,
            other.held,
            other.repeats,
        )


class ReportPacer:
    """Decide when a report is due; times are seconds."""

    def __init__(self) -> None:
        """Start without reports sent."""
        self._near: _SentState | None = None
        self._far: _SentState | None = None
        self._bucket = Bucket(DATAGRAM_BURST, DATAGRAM_BURST)
        self._queue_bucket = Bucket(DATAGRAM_BURST, DATAGRAM_BURST)
        self._refilled_at: float = 0

    def is_due_near(
        self,
        now: float,
        report: LoadReport,
        slots: int,
        receivers: int,
    ) -> bool:
        """Return whether the own failure domain is due a report; record it."""
        state = _summarize(now, report, slots)
        if not _is_due(self._near, state, NEAR_INTERVAL, NEAR_REFRESH):
            return False
        self._refill(now)
        if not self._consume(_rank_change(self._near, state), receivers):
            return False
        self._near = _count_sent(self._near, state)
        return True

    def is_due_far(self, now: float, report: LoadReport) -> bool:
        """Return whether other failure domains are due a report; record it."""
        state = _summarize(now, report, 0)
        if not _is_due(self._far, state, FAR_INTERVAL, FAR_REFRESH):
            return False
        self._far = _count_sent(self._far, state)
        return True

    def record_answer(self, now: float, report: LoadReport) -> None:
        """Record what an answer reports to one node.

        If the capacity then is again as reported to all, that node needs a new
        report: it would go on avoiding a target that is free again.
        """
        answered = _summarize(now, report, 0)
        self._near = _mark_outdated(self._near, answered)
        self._far = _mark_outdated(self._far, answered)

    def _refill(self, now: float) -> None:
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._bucket.deposit(elapsed * DATAGRAM_RATE)
        self._queue_bucket.deposit(elapsed * QUEUE_RATE)

    def _consume(self, importance: _Importance, datagrams: int) -> bool:
        reserved = (
            0
            if importance is _Importance.URGENT
            else RESERVED_REPORTS * datagrams
        )
        if not self._bucket.can_consume(datagrams + reserved):
            return False
        if importance is _Importance.QUEUE and not self._queue_bucket.consume(
            datagrams
        ):
            return False
        return self._bucket.consume(datagrams)


def _summarize(now: float, report: LoadReport, slots: int) -> _SentState:
    rounds = ceil(report.waiting / slots) if slots else 0
    has_capacity = report.free > 0
    return _SentState(
        has_capacity,
        min(MAXIMUM_ROUNDS, rounds),
        report.held,
        now,
        _count_parts(report.repeats),
    )


def _count_parts(repeats: float | None) -> int:
    if repeats is None:
        return ENOUGH_REPEATS
    return min(ENOUGH_REPEATS, max(0, int(repeats)))


def _rank_change(sent: _SentState | None, state: _SentState) -> _Importance:
    """Return what a change is worth to the nodes that choose."""
    if sent is None or sent.held != state.held:
        return _Importance.URGENT
    if state.has_capacity:
        changed = sent.outdated or not sent.has_capacity
        return _Importance.URGENT if changed else _Importance.QUEUE
    return _Importance.CAPACITY if sent.has_capacity else _Importance.QUEUE


def _is_due(
    sent: _SentState | None,
    state: _SentState,
    interval: float,
    refresh: float,
) -> bool:
    if sent is None:
        return True
    elapsed = state.sent_at - sent.sent_at
    if sent.outdated or sent.differs(state):
        return elapsed >= interval
    if sent.times > REPEATS:
        refresh = UNCHANGED_REFRESH
    return elapsed >= refresh


def _mark_outdated(
    sent: _SentState | None,
    answered: _SentState,
) -> _SentState | None:
    if sent is None or sent.outdated:
        return sent
    same = (sent.has_capacity, sent.held) == (
        answered.has_capacity,
        answered.held,
    )
    return sent if same else replace(sent, outdated=True)


def _count_sent(sent: _SentState | None, state: _SentState) -> _SentState:
    if sent is None or sent.outdated or sent.differs(state):
        return state
    return replace(state, times=sent.times + 1)
