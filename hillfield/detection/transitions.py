"""Move a target between the states of its health chart."""

from typing import Final
from zlib import crc32

from hillfield.charts import MissingTransition
from hillfield.detection.evidence import Symptom
from hillfield.detection.health import (
    EVENT_CODES,
    HEALTH_CHART,
    Health,
    HealthTrigger,
)
from hillfield.detection.records import TargetRecord
from hillfield.detection.service import ServiceHealth
from hillfield.events import Occurrence

# Part of an absence by which jitter prolongs it at most.
MAX_JITTER: Final = 1.0
CRC32_RANGE: Final = 4294967296
MAX_RECENT_EJECTIONS: Final = 10


def apply_trigger(
    service: ServiceHealth,
    record: TargetRecord,
    trigger: HealthTrigger,
    now: float,
) -> bool:
    """Make the chart's transition, if it has one, and report it."""
    transition = HEALTH_CHART.follow(record.health, trigger)
    if isinstance(transition, MissingTransition):
        return False
    record.health = transition.state
    record.since = now
    service.rotation_outdated = True
    service.unsettled_targets.add(record.target.id)
    code = EVENT_CODES.get(transition.action)
    if code is not None:
        service.occurrences.append(
            Occurrence(
                code,
                service=service.policy.service,
                target=str(record.target.id),
                detail=record.reason,
            ),
        )
    return True


def remove_from_rotation(
    service: ServiceHealth,
    record: TargetRecord,
    trigger: HealthTrigger,
    now: float,
) -> None:
    """Eject or avoid a target, for longer after each recent ejection."""
    if apply_trigger(service, record, trigger, now):
        record.recent_ejections = min(
            MAX_RECENT_EJECTIONS, record.recent_ejections + 1
        )
        record.trial_stage = 0
        record.consecutive_successes = 0
        record.out_until = now + compute_absence(service, record)


def compute_absence(service: ServiceHealth, record: TargetRecord) -> float:
    """Return for how many seconds the target is to stay out of rotation.

    Jitter by node and target lets one node try the target before the
    others do and report to them what it found.
    """
    tuning = service.tuning
    shortest = tuning.ejection_seconds
    if record.health is Health.AVOIDED:
        shortest = tuning.avoidance_seconds
    absence = shortest * 2 ** (record.recent_ejections - 1)
    key = service.locality.host + str(record.target.id)
    jitter = MAX_JITTER * crc32(key.encode()) / CRC32_RANGE
    return float(min(absence, tuning.max_ejection_seconds) * (1 + jitter))


def start_trial(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    """Start a trial with a small share of real requests."""
    if apply_trigger(service, record, HealthTrigger.START_TRIAL, now):
        record.trial_stage = 0
        record.reset_counts()


def restore_target(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    """Return the target to its full share after its trial."""
    record.reason = 'its trial requests succeeded'
    record.symptom = Symptom.NONE
    record.severity = 0
    record.reset_counts()
    apply_trigger(service, record, HealthTrigger.RECOVER, now)
