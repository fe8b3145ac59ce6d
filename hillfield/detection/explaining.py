"""Explain why targets do or do not receive work."""

from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.health import IN_SERVICE, Health
from hillfield.detection.records import TargetRecord
from hillfield.detection.rotation import Rotation
from hillfield.detection.service import ServiceHealth
from hillfield.events import EventCode, Occurrence
from hillfield.model import TargetId, TargetState


def explain_targets(
    service: ServiceHealth,
    rotation: Rotation,
) -> tuple[TargetExplanation, ...]:
    """Explain each target's state and share, ordered by target."""
    shares = {
        candidate.target.id: candidate.share
        for candidate in rotation.candidates
    }
    return tuple(
        TargetExplanation(
            target,
            record.health.value,
            record.since,
            _describe_reason(record),
            record.symptom,
            shares.get(target, 0),
            target in rotation.floor_held,
        )
        for target, record in sorted(service.records.items(), key=_order)
    )


def report_floor_held(
    service: ServiceHealth,
    earlier: Rotation,
    later: Rotation,
) -> None:
    """Report the targets that the floor has begun to keep in rotation."""
    for target in sorted(later.floor_held - earlier.floor_held):
        record = service.records.get(target)
        if record is None:
            continue
        service.occurrences.append(
            Occurrence(
                EventCode.TARGET_FLOOR_HELD,
                service=service.policy.service,
                target=str(target),
                detail=record.reason,
            ),
        )


def _order(entry: tuple[TargetId, TargetRecord]) -> TargetId:
    return entry[0]


def _describe_reason(record: TargetRecord) -> str:
    match record.health:
        case Health.WARMING:
            return 'recently announced or cold: its share grows'
        case Health.DRAINING:
            return 'it announced that it is leaving'
    if record.health in IN_SERVICE and record.health is Health.HEALTHY:
        if record.target.state is TargetState.SHEDDING:
            return 'it sheds load: its share is lowered'
        return 'its requests do as well as those to its peers'
    return record.reason
