"""State of one service's decisions as shown to operators."""

from msgspec import Struct

from hillfield.detection.explanations import TargetExplanation
from hillfield.routing.capacityviews import (
    CapacityExplanation,
    explain_capacities,
)
from hillfield.routing.loads import TargetLoad
from hillfield.routing.service import ServiceState


class LoadExplanation(Struct, frozen=True):
    """Show one target's load from this node; `latency` is in seconds."""

    target: str
    in_rotation: bool
    in_flight: int
    limit: int
    share: float
    latency: float
    paused: bool


class RoutingExplanation(Struct, frozen=True):
    """Show a service's queue, budgets, counters and targets at this node.

    `repeats_left` is what the service's gates have left of the fleet's bound on
    repeats, on average and in parts of the slack (None: no gate has reported).
    """

    service: str
    queued: int
    slots: int
    latency: float
    retry_tokens: float
    hedge_tokens: float
    admitted: int
    sent: int
    retries: int
    hedges: int
    refused: int
    unknown: int
    strays: int
    loads: tuple[LoadExplanation, ...]
    health: tuple[TargetExplanation, ...]
    rooms: tuple[CapacityExplanation, ...] = ()
    repeats_left: float | None = None


def explain_service(service: ServiceState, now: float) -> RoutingExplanation:
    """Return the present state of the service's decisions."""
    service.selector.adopt(service.detector.rotation())
    counters = service.counters
    return RoutingExplanation(
        service=service.policy.service,
        queued=service.count_waiting(),
        slots=service.selector.capacity,
        latency=service.selector.latency.mean,
        retry_tokens=service.budget.retries.tokens,
        hedge_tokens=service.budget.hedges.tokens,
        admitted=counters.admitted,
        sent=service.table.sends,
        retries=counters.retries,
        hedges=counters.hedges,
        refused=counters.refused,
        unknown=counters.unknown,
        strays=service.table.strays,
        loads=tuple(map(_explain_load, service.selector.loads.values())),
        health=service.detector.explain(now),
        rooms=explain_capacities(service, now),
        repeats_left=service.repeat_shares.compute_mean(now),
    )


def _explain_load(load: TargetLoad) -> LoadExplanation:
    return LoadExplanation(
        str(load.target.id),
        load.tier is not None,
        load.in_flight,
        load.limit,
        load.share,
        load.latency.mean,
        load.paused,
    )
