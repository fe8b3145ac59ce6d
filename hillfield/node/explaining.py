"""Pages for operators that explain the state of a service."""

from msgspec.structs import replace

from hillfield.control import ServicePage, TargetReport
from hillfield.detection.explanations import TargetExplanation
from hillfield.model import ServicePolicy, Target, TargetState
from hillfield.routing import LoadExplanation, RoutingExplanation


def make_service_page(
    node: str,
    policy: ServicePolicy | None,
    routing: RoutingExplanation,
    targets: tuple[Target, ...],
    now: float,
) -> ServicePage:
    """Merge the state of detection and routing for each target.

    Slots are counted over the targets in this node's subset: in a large fleet
    a node uses only some of the targets of a service.
    """
    loads = {load.target: load for load in routing.loads}
    rates = {capacity.target: capacity.rate for capacity in routing.rooms}
    reports = tuple(
        replace(
            make_report(health, loads.get(str(health.target)), now),
            rate=rates.get(str(health.target)),
        )
        for health in routing.health
    )
    known = {report.target for report in reports}
    rotating = {report.target for report in reports if report.in_rotation}
    return ServicePage(
        node=node,
        service=routing.service,
        floor=ServicePolicy('').floor if policy is None else policy.floor,
        slots=count_slots(targets, known),
        rotation_slots=count_slots(targets, rotating),
        queued=routing.queued,
        targets=reports,
    )


def make_report(
    health: TargetExplanation,
    load: LoadExplanation | None,
    now: float,
) -> TargetReport:
    """Merge the state of one target."""
    if load is None:
        load = LoadExplanation(str(health.target), False, 0, 0, 0, 0, False)
    return TargetReport(
        target=str(health.target),
        state=health.state,
        since=max(0, now - health.since),
        in_rotation=load.in_rotation,
        share=health.share,
        evidence=health.evidence,
        symptom=health.symptom.value,
        floor_held=health.floor_held,
        in_flight=load.in_flight,
        limit=load.limit,
        latency=load.latency,
    )


def count_slots(targets: tuple[Target, ...], wanted: set[str]) -> int:
    """Return the slots of the wanted targets, without draining ones."""
    return sum(
        target.slots
        for target in targets
        if str(target.id) in wanted and target.state != TargetState.DRAINING
    )
