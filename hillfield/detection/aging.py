"""Changes of targets that the passing of time causes."""

from typing import Final

from hillfield.detection.decay import decay_counts, is_idle
from hillfield.detection.evaluation import clear_suspicion, evaluate_target
from hillfield.detection.evidence import Symptom
from hillfield.detection.health import OUT_OF_ROTATION, Health, HealthTrigger
from hillfield.detection.records import TargetRecord, update_warmup
from hillfield.detection.rotation import FULL_SHARE
from hillfield.detection.service import ServiceHealth, update_weights
from hillfield.detection.transitions import (
    apply_trigger,
    compute_absence,
    start_trial,
)

DECAYS_PER_HALF_LIFE: Final = 5
MIN_SUSPICION_SECONDS: Final = 1
PROBE_DELAY_SECONDS: Final = 2


def advance_time(service: ServiceHealth, now: float) -> None:
    """Decay the counts and advance the targets' states up to now."""
    service.demand.advance(now)
    interval = service.tuning.half_life / DECAYS_PER_HALF_LIFE
    if now - service.decayed_at >= interval and not is_idle(service):
        decay_counts(service, now)
        update_weights(service, now)
        service.reports.expire(now - service.tuning.max_report_age)
    for target in tuple(service.unsettled_targets):
        record = service.records.get(target)
        if record is None or _is_settled(record):
            service.unsettled_targets.discard(target)
        else:
            _advance_target(service, record, now)


def _is_settled(record: TargetRecord) -> bool:
    if record.recent_ejections or record.shed_until:
        return False
    return record.health is Health.HEALTHY


def _advance_target(
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    if record.shed_until:
        _end_shedding(service, record, now)
    match record.health:
        case Health.HEALTHY if record.recent_ejections:
            _reduce_ejections(service, record, now)
        case Health.WARMING:
            _advance_warmup(service, record, now)
        case Health.SUSPECTED:
            evaluate_target(service, record, now)
            if now - record.since >= MIN_SUSPICION_SECONDS:
                clear_suspicion(service, record, now)
        case Health.EJECTED | Health.AVOIDED if now >= record.out_until:
            record.reason = 'its time out of rotation has passed'
            start_trial(service, record, now)


def apply_probe(
    service: ServiceHealth,
    record: TargetRecord,
    healthy: bool,
    now: float,
) -> None:
    """Bring a trial forward or put it off after a probe."""
    record.failed_probes = 0 if healthy else record.failed_probes + 1
    if record.health not in OUT_OF_ROTATION:
        return
    if not healthy:
        # Probes may be wrong: they put a trial off but cannot prevent it.
        latest = record.since + 2 * compute_absence(service, record)
        delayed = min(now + PROBE_DELAY_SECONDS, latest)
        record.out_until = max(record.out_until, delayed)
    elif record.symptom is Symptom.UNREACHABLE:
        # It can be reached again; only requests show whether it works.
        soonest = record.since + service.tuning.avoidance_seconds
        record.out_until = min(record.out_until, max(now, soonest))


def _advance_warmup(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    service.rotation_outdated |= update_warmup(
        record, now, service.policy.slow_start
    )
    if record.warmup_share >= FULL_SHARE:
        apply_trigger(service, record, HealthTrigger.WARM, now)


def _reduce_ejections(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    healthy_seconds = now - max(record.since, record.ejections_reduced_at)
    if healthy_seconds >= service.tuning.seconds_per_ejection:
        record.recent_ejections -= 1
        record.ejections_reduced_at = now


def _end_shedding(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    if record.shed_until <= now:
        record.shed_until = 0
        service.rotation_outdated = True
