"""What a gate records of attempts in flight, and the reports it gives."""

from collections.abc import Callable
from typing import Final

from hillfield.crashes import Run, TargetExit
from hillfield.events import EventCode, Occurrence
from hillfield.gate.calls import Call
from hillfield.gate.notices import apply_notice
from hillfield.gate.reporting import build_report
from hillfield.gate.state import GateState, RepeatListener, ShareSource
from hillfield.loadreports.reports import LoadReport
from hillfield.model import TargetId, TargetNotice
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.requests import Arrival

MILLISECONDS: Final = 1000

# Called with the target when a request to it was lost, or when another
# incarnation replaces it.
LossListener = Callable[[TargetId], None]
# Called with each report that is sent on an answer.
AnswerListener = Callable[[float, LoadReport], None]
# Called when the served incarnation announces that it leaves.
LeavingListener = Callable[[float, TargetId], None]
# Called with each request that the target answered well.
ServedListener = Callable[[Arrival], None]


class RepeatRecorder:
    """Record what decides on repeats."""

    def __init__(self, state: GateState) -> None:
        """Record in this state."""
        self._state = state

    def count_repeats(self, listener: RepeatListener) -> None:
        """Call `listener` with each repeat that is sent to the target."""
        self._state.on_repeat = listener

    def watch_shares(self, source: ShareSource) -> None:
        """Ask `source` what the gates of a service have left for repeats."""
        self._state.find_share = source

    def adopt_targets(self, now: float, targets: int) -> None:
        """Set how many targets of the service share the bound on repeats."""
        self._state.repeats.adopt_targets(now, targets)

    def record_call(self, now: float, call: Call) -> bool:
        """Record a request of this host; return if a repeated run made it."""
        running = tuple(self._state.table.attempts.values())
        return self._state.call_parents.record_call(now, call, running)


class AttemptRecorder(RepeatRecorder):
    """Record attempts at the target, and report its free capacity."""

    def __init__(self, state: GateState) -> None:
        """Record in this state."""
        super().__init__(state)
        self._report_number = 0
        self.on_lost: LossListener = _ignore_target
        self.on_replaced: LossListener = _ignore_target
        self.on_served: ServedListener = _ignore_arrival
        self.on_leaving: LeavingListener = _ignore_leaving
        self.on_answer: AnswerListener = _ignore_report

    def record_written(self, now: float, attempt: int) -> None:
        """Record that the attempt's first byte is about to be written."""
        attempt_record = self._state.table.find(attempt)
        if attempt_record is not None:
            attempt_record.follow(AttemptTrigger.WRITE)

    def record_head(self, now: float, attempt: int) -> None:
        """Record that the head of the attempt's answer has been received."""
        attempt_record = self._state.table.find(attempt)
        if attempt_record is not None:
            attempt_record.follow(AttemptTrigger.HEAD)

    def record_silence(self, now: float, attempt: int) -> None:
        """Ignore it: targets send no keepalives."""

    def record_notice(
        self,
        now: float,
        attempt: int,
        notice: TargetNotice,
    ) -> None:
        """Apply what the target says about itself in an attempt's answer."""
        attempt_record = self._state.table.find(attempt)
        if attempt_record is not None and apply_notice(
            self._state,
            now,
            attempt_record,
            notice,
        ):
            self.on_leaving(now, attempt_record.target.id)

    def adopt_report(self, now: float, report: LoadReport) -> None:
        """Ignore it: targets report no capacity."""

    def report(self, now: float) -> LoadReport | None:
        """Return the report of the target's free capacity for other nodes."""
        self._report_number += 1
        return build_report(self._state, now, self._report_number)

    def report_on_answer(self, now: float) -> LoadReport | None:
        """Return the report for an answer, and pass it to `on_answer`."""
        report = self.report(now)
        if report is not None:
            self.on_answer(now, report)
        return report

    def record_exit(
        self,
        now: float,
        wall: int,
        target: TargetId,
    ) -> TargetExit | None:
        """Record that the target's process has exited; return the exit.

        `wall` is the wall clock in milliseconds. None: no request was lost.
        """
        target_exit = self._state.lost_runs.build_exit(now, wall, target)
        if target_exit is not None:
            self._state.journal.record(
                Occurrence(
                    EventCode.TARGET_ENDED,
                    service=target.service,
                    target=str(target),
                    detail=' '.join(map(_describe, target_exit.runs)),
                ),
            )
        return target_exit


def _describe(run: Run) -> str:
    """Return a run's fingerprint and its duration in milliseconds."""
    milliseconds = round(run.lasted * MILLISECONDS)
    name = run.fingerprint.hex()
    return f'{name}:{milliseconds}'


def _ignore_target(target: TargetId) -> None:
    """Ignore the target."""


def _ignore_arrival(arrival: Arrival) -> None:
    """Ignore the request."""


def _ignore_leaving(now: float, target: TargetId) -> None:
    """Ignore the notice."""


def _ignore_report(now: float, report: LoadReport) -> None:
    """Ignore the report."""
