"""Adopt the announced targets of a service."""

from collections import Counter

from hillfield.detection.health import Health, HealthTrigger
from hillfield.detection.latencies import classify_distance
from hillfield.detection.records import TargetRecord
from hillfield.detection.service import ServiceHealth
from hillfield.detection.transitions import apply_trigger
from hillfield.model import Target, TargetState


def replace_targets(
    service: ServiceHealth,
    targets: tuple[Target, ...],
    now: float,
) -> None:
    """Replace the announced targets; new incarnations get new records."""
    known = service.records
    is_first = not known
    service.records = {}
    for target in targets:
        record = known.get(target.id)
        if record is None:
            record = _create_record(service, target, now, is_first)
        service.records[target.id] = record
        service.unsettled_targets.add(target.id)
        service.rotation_outdated |= record.target != target
        record.target = target
        _follow_announcement(service, record, now)
    service.rotation_outdated |= service.records.keys() != known.keys()
    service.targets_by_distance = Counter(
        announced.distance for announced in service.records.values()
    )
    domains = {announced.locality.failure_domain for announced in targets}
    service.domain_count = len(domains | {service.locality.failure_domain})


def _create_record(
    service: ServiceHealth,
    target: Target,
    now: float,
    is_first: bool,
) -> TargetRecord:
    distance = classify_distance(service.locality, target.locality)
    record = TargetRecord(target, now, now, distance)
    if is_first and target.state is not TargetState.COLD:
        # When a node starts, all targets are new to it: none warms up.
        apply_trigger(service, record, HealthTrigger.WARM, now)
    return record


def _follow_announcement(
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> None:
    draining = record.target.state is TargetState.DRAINING
    if draining == (record.health is Health.DRAINING):
        return
    record.reason = 'by its own announcement'
    if draining:
        apply_trigger(service, record, HealthTrigger.DRAIN, now)
        return
    record.announced_at = now
    apply_trigger(service, record, HealthTrigger.RETURN, now)
