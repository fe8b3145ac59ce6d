"""Count failures, and let old counts decay."""

from operator import attrgetter
from typing import Final

from hillfield.detection.health import IN_SERVICE
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TargetRecord
from hillfield.detection.service import ServiceHealth
from hillfield.model import TargetId

READ_HAS_COUNTS: Final = attrgetter('has_counts')
READ_HAS_FAILURES: Final = attrgetter('has_failures')


def decay_counts(service: ServiceHealth, now: float) -> None:
    """Let old counts decay, more slowly when there is little traffic."""
    elapsed = min(now - service.decayed_at, service.tuning.max_half_life)
    service.decayed_at = now
    factor = float(0.5 ** (elapsed / _select_half_life(service)))
    run_factor = float(factor ** (1 / service.tuning.run_half_life_factor))
    for target in tuple(service.counted_targets):
        _decay_target(service, target, factor, run_factor)
    for reference in service.latency_references:
        reference.refresh(factor)


def _decay_target(
    service: ServiceHealth,
    target: TargetId,
    factor: float,
    run_factor: float,
) -> None:
    record = service.records.get(target)
    tallies = () if record is None else record.tallies
    for tally in tallies:
        tally.decay(factor, run_factor)
    if not any(map(READ_HAS_FAILURES, tallies)):
        service.failing_targets.discard(target)
    if not any(map(READ_HAS_COUNTS, tallies)):
        service.counted_targets.discard(target)


def count_failure(
    service: ServiceHealth,
    record: TargetRecord,
    indicator: Indicator,
    now: float,
) -> None:
    """Count a failure of a request to the target."""
    record.tallies[indicator].add_failure(now)
    service.counted_targets.add(record.target.id)
    service.failing_targets.add(record.target.id)


def is_idle(service: ServiceHealth) -> bool:
    """Return whether there are no counts, attempts or reports."""
    return not (
        service.counted_targets
        or len(service.attempts)
        or service.reports.has_any
    )


def _select_half_life(service: ServiceHealth) -> float:
    tuning = service.tuning
    counts = [
        record.tallies[Indicator.UNREACHABLE].recent_requests
        for record in service.records.values()
        if record.health in IN_SERVICE
    ]
    if sum(counts) < tuning.kept_requests * len(counts):
        return tuning.max_half_life
    return tuning.half_life
