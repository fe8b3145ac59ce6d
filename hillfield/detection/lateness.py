"""Count late answers, and overdue ones before they time out."""

from typing import Final

from hillfield.detection.attempts import Attempt
from hillfield.detection.decay import count_failure
from hillfield.detection.evaluation import evaluate_target
from hillfield.detection.health import OUT_OF_ROTATION, Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TargetRecord
from hillfield.detection.service import (
    DISTANCES,
    ServiceHealth,
    can_compare_latency,
    record_latency,
    select_limits,
)
from hillfield.model import TargetId

INDICATORS_BY_LIMIT: Final = (
    Indicator.SLOW,
    Indicator.VERY_SLOW,
    Indicator.HUNG,
)
# Limits passed by an attempt whose time-out is no new evidence.
MIN_LIMITS_PASSED: Final = 2


def count_latency(
    service: ServiceHealth,
    record: TargetRecord,
    attempt: Attempt,
    now: float,
) -> None:
    """Count how long the head of an answer took."""
    if is_lateness_ignored(record, attempt):
        return
    seconds = now - attempt.aged_from
    limits = select_limits(service, record)
    if record.health not in OUT_OF_ROTATION:
        record_latency(service, record, seconds)
    passed = (
        seconds > limits.slow,
        seconds > limits.very_slow,
        seconds > limits.hung,
    )
    for indicator, is_late in zip(INDICATORS_BY_LIMIT, passed, strict=True):
        tally = record.tallies[indicator]
        if attempt.limits_passed > indicator - Indicator.SLOW:
            # Counted when it became overdue; now it has been answered.
            tally.unanswered = max(0, tally.unanswered - 1)
        elif is_late:
            count_failure(service, record, indicator, now)
        else:
            tally.add_success(now, service.weights[indicator])
    if any(passed):
        evaluate_target(service, record, now)


def count_overdue(service: ServiceHealth, now: float) -> None:
    """Count the unanswered attempts that have just passed a limit."""
    limits = service.latency_references[DISTANCES].limits
    for attempt in service.attempts.collect_overdue(now, limits):
        record = service.records.get(attempt.target)
        if record is None or is_lateness_ignored(record, attempt):
            continue
        indicator = INDICATORS_BY_LIMIT[attempt.limits_passed - 1]
        count_failure(service, record, indicator, now)
        record.tallies[indicator].unanswered += 1
        evaluate_target(service, record, now)


def count_timeout(
    service: ServiceHealth,
    record: TargetRecord,
    attempt: Attempt,
    now: float,
) -> None:
    """Count an attempt that ended without an answer as hung.

    Where peers are slow, the limit for that may lie beyond the deadline.
    """
    if attempt.limits_passed >= len(INDICATORS_BY_LIMIT) or is_lateness_ignored(
        record, attempt
    ):
        return
    count_failure(service, record, Indicator.HUNG, now)
    record.tallies[Indicator.HUNG].unanswered += 1
    evaluate_target(service, record, now)


def is_counted_as_late(service: ServiceHealth, attempt: Attempt) -> bool:
    """Return whether a time-out counts as lateness, not as an error."""
    return attempt.limits_passed >= MIN_LIMITS_PASSED and can_compare_latency(
        service
    )


def is_lateness_ignored(record: TargetRecord, attempt: Attempt) -> bool:
    """Return whether the attempt's lateness is no evidence."""
    if record.health is Health.TRIAL:
        # Attempts sent before the trial are not part of it.
        return attempt.started < record.since
    # Cold targets are expected to be slow.
    return record.health is Health.WARMING


class AttemptTracker:
    """Track the attempts of one service; times are in seconds."""

    def __init__(self, service: ServiceHealth) -> None:
        """Track attempts for this service."""
        self._service = service

    def record_start(self, now: float, target: TargetId, attempt: int) -> None:
        """Record that an attempt is about to be written."""
        self._service.attempts.start(now, target, attempt)
        self._service.demand.count_request()
        record = self._service.records.get(target)
        if record is None:
            return
        self._service.counted_targets.add(target)
        if record.health is Health.TRIAL:
            record.trial_attempts.add(attempt)

    def record_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Record that the head of the attempt's answer was received."""
        started = self._service.attempts.remove(attempt)
        record = self._service.records.get(target)
        if started is not None and record is not None:
            count_latency(self._service, record, started, now)

    def discount_pause(self, now: float, seconds: float) -> None:
        """Leave the last seconds out of the age of attempts in flight."""
        self._service.attempts.discount_pause(now, seconds)
