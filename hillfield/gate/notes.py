"""What a gate is told of attempts under way, and what it tells."""

from collections.abc import Callable
from typing import Final

from hillfield.crashes import Run, TargetEnd
from hillfield.events import EventCode, Occurrence
from hillfield.gate.hearing import hear
from hillfield.gate.reporting import report_load
from hillfield.gate.state import GateState
from hillfield.loadreports.reports import LoadReport
from hillfield.model import TargetId, TargetNotice
from hillfield.routing.phases import AttemptTrigger

MILLISECONDS: Final = 1000

# Is told that a request to a life of the target was lost, or that another
# life has taken its place.
LossListener = Callable[[TargetId], None]
# Is told what an answer tells of the target's room.
AnswerListener = Callable[[float, LoadReport], None]
# Is told that a life of the target says that it leaves.
LeavingListener = Callable[[float, TargetId], None]
# Is told the fingerprint of a request that the target answered well.
ServedListener = Callable[[bytes], None]


class GateNotes:
    """Take notes of attempts at the target, and tell of its room."""

    def __init__(self, state: GateState) -> None:
        """Take notes in this state."""
        self._state = state
        self._told = 0
        self.on_lost: LossListener = _tell_nobody
        self.on_replaced: LossListener = _tell_nobody
        self.on_served: ServedListener = _tell_none
        self.on_leaving: LeavingListener = _follow_nothing
        self.on_answer: AnswerListener = _note_nothing

    def note_written(self, now: float, attempt: int) -> None:
        """Note that the attempt's first byte is about to be written."""
        found = self._state.ledger.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.WRITE)

    def note_head(self, now: float, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""
        found = self._state.ledger.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.HEAD)

    def note_silent(self, now: float, attempt: int) -> None:
        """Ignore it: targets send no signs of life."""

    def note_notice(
        self,
        now: float,
        attempt: int,
        notice: TargetNotice,
    ) -> None:
        """Take what the target says of itself in an attempt's answer."""
        found = self._state.ledger.find(attempt)
        if found is not None and hear(self._state, now, found, notice):
            self.on_leaving(now, found.target.id)

    def adopt_report(self, now: float, report: LoadReport) -> None:
        """Ignore it: targets don't tell of their room."""

    def report(self, now: float) -> LoadReport | None:
        """Return what other nodes should know of the target's room."""
        self._told += 1
        return report_load(self._state, now, self._told)

    def report_on_answer(self, now: float) -> LoadReport | None:
        """Return what one node is told on an answer, and note that."""
        report = self.report(now)
        if report is not None:
            self.on_answer(now, report)
        return report

    def note_ended(
        self,
        now: float,
        wall: int,
        target: TargetId,
    ) -> TargetEnd | None:
        """Note that a life of the target has ended; return under what.

        `wall` is the wall clock in milliseconds. None: no request was lost.
        """
        end = self._state.lost.close(now, wall, target)
        if end is not None:
            self._state.journal.record(
                Occurrence(
                    EventCode.TARGET_ENDED,
                    service=target.service,
                    target=str(target),
                    detail=' '.join(map(_describe, end.runs)),
                ),
            )
        return end


def _describe(run: Run) -> str:
    """Name a run: its fingerprint, and the milliseconds that it lasted."""
    milliseconds = round(run.lasted * MILLISECONDS)
    name = run.fingerprint.hex()
    return f'{name}:{milliseconds}'


def _tell_nobody(target: TargetId) -> None:
    """Tell nobody: no one has asked yet."""


def _tell_none(fingerprint: bytes) -> None:
    """Tell nobody: no one follows requests."""


def _follow_nothing(now: float, target: TargetId) -> None:
    """Follow nothing: nobody knows of the target's lives."""


def _note_nothing(now: float, report: LoadReport) -> None:
    """Note nothing: nobody tells others."""
