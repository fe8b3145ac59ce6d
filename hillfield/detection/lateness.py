"""Count late answers, and missing ones before they time out."""

from typing import Final

from hillfield.detection.attempts import Attempt
from hillfield.detection.fading import add_failure
from hillfield.detection.health import OUT, Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TargetRecord
from hillfield.detection.service import (
    DISTANCES,
    Service,
    add_latency,
    find_limits,
    judges_lateness,
)
from hillfield.detection.verdicts import judge
from hillfield.model import TargetId

LATENESS: Final = (Indicator.SLOW, Indicator.VERY_SLOW, Indicator.HUNG)
# Limits passed by an attempt whose time-out says nothing new.
PLAINLY_LATE: Final = 2


def count_head(
    service: Service,
    record: TargetRecord,
    attempt: Attempt,
    now: float,
) -> None:
    """Count how long an answer's head took."""
    if is_excused(record, attempt):
        return
    seconds = now - attempt.aged_from
    limits = find_limits(service, record)
    if record.health not in OUT:
        add_latency(service, record, seconds)
    passed = (
        seconds > limits.slow,
        seconds > limits.very_slow,
        seconds > limits.hung,
    )
    for indicator, is_late in zip(LATENESS, passed, strict=True):
        tally = record.tallies[indicator]
        if attempt.overdue > indicator - Indicator.SLOW:
            # Counted when it became late; now it has been answered.
            tally.unanswered = max(0, tally.unanswered - 1)
        elif is_late:
            add_failure(service, record, indicator, now)
        else:
            tally.add_success(now, service.weights[indicator])
    if any(passed):
        judge(service, record, now)


def count_overdue(service: Service, now: float) -> None:
    """Count attempts that have just become late, unanswered as they are."""
    limits = service.references[DISTANCES].limits
    for attempt in service.attempts.collect_overdue(now, limits):
        record = service.records.get(attempt.target)
        if record is None or is_excused(record, attempt):
            continue
        indicator = LATENESS[attempt.overdue - 1]
        add_failure(service, record, indicator, now)
        record.tallies[indicator].unanswered += 1
        judge(service, record, now)


def count_given_up(
    service: Service,
    record: TargetRecord,
    attempt: Attempt,
    now: float,
) -> None:
    """Count an attempt that ended without an answer as hung.

    Where peers are slow the limit of that may lie beyond the deadline.
    """
    if attempt.overdue >= len(LATENESS) or is_excused(record, attempt):
        return
    add_failure(service, record, Indicator.HUNG, now)
    record.tallies[Indicator.HUNG].unanswered += 1
    judge(service, record, now)


def is_counted(service: Service, attempt: Attempt) -> bool:
    """Return whether a time-out is counted by the attempt's lateness."""
    return attempt.overdue >= PLAINLY_LATE and judges_lateness(service)


def is_excused(record: TargetRecord, attempt: Attempt) -> bool:
    """Return whether the attempt's lateness says nothing of the target."""
    if record.health is Health.TRIAL:
        # What was sent before the trial says nothing of it.
        return attempt.started < record.since
    # Cold targets are slow, which is no fault.
    return record.health is Health.WARMING


class AttemptNotes:
    """Follow the attempts of one service; times are seconds."""

    def __init__(self, service: Service) -> None:
        """Take notes for this service."""
        self._service = service

    def note_started(self, now: float, target: TargetId, attempt: int) -> None:
        """Note that an attempt is about to be written."""
        self._service.attempts.start(now, target, attempt)
        self._service.demand.add()
        record = self._service.records.get(target)
        if record is None:
            return
        self._service.counted.add(target)
        if record.health is Health.TRIAL:
            record.trials.add(attempt)

    def note_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""
        started = self._service.attempts.take(attempt)
        record = self._service.records.get(target)
        if started is not None and record is not None:
            count_head(self._service, record, started, now)

    def excuse(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against targets."""
        self._service.attempts.excuse(now, seconds)
