"""The state that one node keeps for one service's targets."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from hillfield.detection.attempts import AttemptsInFlight
from hillfield.detection.demand import Demand
from hillfield.detection.health import IN_SERVICE, Health
from hillfield.detection.indicators import (
    HYPOTHESES,
    Indicator,
    Weights,
    compute_weights,
    estimate_peer_rate,
)
from hillfield.detection.latencies import LatencyReference, Limits
from hillfield.detection.records import TargetRecord
from hillfield.detection.reports import EvidenceReports
from hillfield.detection.tallies import compute_rate
from hillfield.detection.tuning import Tuning, compute_threshold
from hillfield.events import Occurrence
from hillfield.model import Locality, ServicePolicy, TargetId

MIN_PEERS: Final = 2
# A rate above 1, which no peer can have: with it latency weighs nothing.
NO_COMPARABLE_RATES: Final = (2.0,)
MIN_OBSERVED_REQUESTS: Final = 0.5
MIN_TARGETS_AT_DISTANCE: Final = 4
SUSPICIOUS_RATE: Final = 0.3
SUSPICIOUS_SLOW_RATE: Final = 0.45
BASE_WEIGHTS: Final = tuple(
    compute_weights(hypotheses, 0) for hypotheses in HYPOTHESES
)
# Distances of targets, and the index of the reference over all of them.
DISTANCES: Final = 3
LATENCY_INDICATORS: Final = frozenset(
    (Indicator.SLOW, Indicator.VERY_SLOW, Indicator.HUNG),
)


def _create_references() -> tuple[LatencyReference, ...]:
    return tuple(LatencyReference() for _ in range(DISTANCES + 1))


@dataclass(slots=True)
class ServiceHealth:
    """Hold all that is known of a service's targets.

    `latency_references` holds one per distance and a last one over all
    targets; `excess_suspects` is by indicator how many more targets look
    unhealthy than is tolerated; `rotation_outdated` says that the rotation
    must be rebuilt. Work that recurs is limited to the targets in
    `counted_targets` (with counts), `failing_targets` (with failures among
    them) and `unsettled_targets` (not simply healthy), so that the others
    cost nothing.
    """

    policy: ServicePolicy
    locality: Locality
    tuning: Tuning
    records: dict[TargetId, TargetRecord] = field(default_factory=dict)
    attempts: AttemptsInFlight = field(default_factory=AttemptsInFlight)
    reports: EvidenceReports = field(default_factory=EvidenceReports)
    demand: Demand = field(default_factory=Demand)
    occurrences: list[Occurrence] = field(default_factory=list)
    weights: tuple[Weights, ...] = BASE_WEIGHTS
    peer_rates: tuple[float, ...] = (0,) * len(HYPOTHESES)
    excess_suspects: tuple[float, ...] = (0,) * len(HYPOTHESES)
    weights_updated_at: float = float('-inf')
    decayed_at: float = float('-inf')
    domain_count: int = 1
    targets_by_distance: Counter[int] = field(default_factory=Counter)
    rotation_outdated: bool = True
    counted_targets: set[TargetId] = field(default_factory=set)
    failing_targets: set[TargetId] = field(default_factory=set)
    unsettled_targets: set[TargetId] = field(default_factory=set)
    latency_references: tuple[LatencyReference, ...] = field(
        default_factory=_create_references,
    )

    @property
    def threshold(self) -> float:
        """Return the score from which on a target counts as unhealthy."""
        return compute_threshold(self.policy, self.tuning)


def select_limits(service: ServiceHealth, record: TargetRecord) -> Limits:
    """Return the limits of targets at the same distance, or of all."""
    if service.targets_by_distance[record.distance] >= MIN_TARGETS_AT_DISTANCE:
        return service.latency_references[record.distance].limits
    return service.latency_references[DISTANCES].limits


def can_compare_latency(service: ServiceHealth) -> bool:
    """Return whether enough targets are in service to compare latencies."""
    peers = sum(
        record.health in IN_SERVICE for record in service.records.values()
    )
    return peers > MIN_PEERS


def record_latency(
    service: ServiceHealth,
    record: TargetRecord,
    seconds: float,
) -> None:
    """Add a latency to the references that include the target."""
    service.latency_references[record.distance].add(seconds)
    service.latency_references[DISTANCES].add(seconds)


def update_weights(service: ServiceHealth, now: float) -> None:
    """Recompute the weights from how often the peers fail now."""
    decay = 0.5 ** (
        (now - service.weights_updated_at) / service.tuning.peer_rate_half_life
    )
    service.weights_updated_at = now
    peers = [
        record
        for record in service.records.values()
        if record.health in IN_SERVICE
    ]
    rates = tuple(
        _compute_peer_rates(service, indicator, peers)
        for indicator in Indicator
    )
    service.excess_suspects = tuple(
        _count_excess_suspects(service, indicator, rates[indicator])
        for indicator in Indicator
    )
    peer_rates = [
        max(
            estimate_peer_rate(rates[indicator], service.tuning),
            # A fault that all targets share ends a little later at some
            # of them, so the previous rates decay.
            _select_previous_rate(service, indicator) * decay,
        )
        for indicator in Indicator
    ]
    late_share = service.demand.estimate_late_share()
    peer_rates[Indicator.SLOW] = max(peer_rates[Indicator.SLOW], late_share)
    # Where many answers are late, some are very late.
    half = peer_rates[Indicator.SLOW] / 2
    peer_rates[Indicator.VERY_SLOW] = max(peer_rates[Indicator.VERY_SLOW], half)
    quarter = peer_rates[Indicator.VERY_SLOW] / 4
    peer_rates[Indicator.HUNG] = max(peer_rates[Indicator.HUNG], quarter)
    service.peer_rates = tuple(peer_rates)
    service.weights = tuple(
        compute_weights(HYPOTHESES[indicator], service.peer_rates[indicator])
        for indicator in Indicator
    )


def _select_previous_rate(
    service: ServiceHealth, indicator: Indicator
) -> float:
    rate = service.peer_rates[indicator]
    # The rate for too few peers is void once there are enough of them.
    return rate if rate <= service.tuning.peer_factor else 0


def _compute_peer_rates(
    service: ServiceHealth,
    indicator: Indicator,
    peers: list[TargetRecord],
) -> tuple[float, ...]:
    # Nodes send most work to their own failure domain; a target without
    # requests has no rate to compare with.
    observed = [peer for peer in peers if _is_observed(service, peer)]
    if indicator in LATENCY_INDICATORS:
        observed = [
            peer for peer in observed if peer.health is not Health.WARMING
        ]
        if len(observed) <= MIN_PEERS:
            # Too few to compare: latency then counts against no target.
            return NO_COMPARABLE_RATES
    elif len(observed) <= MIN_PEERS:
        observed = peers
    return tuple(
        _compute_peer_rate(service, peer, indicator) for peer in observed
    )


def _is_observed(service: ServiceHealth, peer: TargetRecord) -> bool:
    reached = peer.tallies[Indicator.UNREACHABLE]
    if reached.recent_requests >= MIN_OBSERVED_REQUESTS:
        return True
    return service.reports.has_target(peer.target.id)


def _count_excess_suspects(
    service: ServiceHealth,
    indicator: Indicator,
    rates: tuple[float, ...],
) -> float:
    bound = SUSPICIOUS_RATE
    if indicator in LATENCY_INDICATORS:
        # A single late answer, with none before it, is no evidence.
        bound = SUSPICIOUS_SLOW_RATE
    suspects = sum(rate >= bound for rate in rates)
    tolerated = 1 + service.tuning.tolerated_suspect_share * len(rates)
    return max(0, suspects - tolerated)


def _compute_peer_rate(
    service: ServiceHealth,
    peer: TargetRecord,
    indicator: Indicator,
) -> float:
    target = peer.target.id
    if target not in service.failing_targets and not service.reports.has_target(
        target
    ):
        return 0
    requests = 0
    failures = 0
    for received in service.reports.for_target(target):
        if received.indicator is indicator:
            requests += received.evidence.requests
            failures += received.evidence.failures
    return compute_rate(peer.tallies[indicator], requests, failures)
