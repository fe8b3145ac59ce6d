"""Pool the counts of one indicator of this node and others."""

from dataclasses import dataclass
from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.health import Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TargetRecord
from hillfield.detection.reports import ReceivedEvidence
from hillfield.detection.service import ServiceHealth
from hillfield.detection.tallies import Tally

# Failures from which this node is one of those that confirm a fault.
MIN_OWN_FAILURES: Final = 0.5
# Most successes of this node that are pooled with others' failures.
MAX_OWN_SUCCESSES: Final = 5.0
# Seconds since the last success.
MAX_SUCCESS_AGE: Final = 1.0
# A failed path can cause these; wrong and late answers are the target's own.
PATH_SYMPTOMS: Final = frozenset(
    (Symptom.UNREACHABLE, Symptom.STALLED, Symptom.BROKEN),
)


@dataclass(slots=True)
class PooledCounts:
    """Hold the counts of one indicator at this node, or pooled with others.

    `margin` is by how much the score exceeds the threshold (below 0: not);
    `confirmed` says that enough nodes, in enough failure domains, agree.
    """

    indicator: Indicator
    symptom: Symptom
    requests: float
    failures: float
    nodes: set[str]
    domains: set[str]
    path_failures: float = 0
    margin: float = 0
    confirmed: bool = False


def infer_symptom(record: TargetRecord, indicator: Indicator) -> Symptom:
    """Return the symptom that the indicator's failures at this node show."""
    match indicator:
        case Indicator.UNREACHABLE:
            return Symptom.UNREACHABLE
        case Indicator.ERROR:
            return record.error_symptom
    tally = record.tallies[indicator]
    if tally.unanswered > tally.failures / 2:
        return Symptom.STALLED
    return Symptom.SLOW


def pool_own_counts(
    service: ServiceHealth,
    record: TargetRecord,
    indicator: Indicator,
) -> PooledCounts:
    """Return the counts of this node."""
    tally = record.tallies[indicator]
    counts = PooledCounts(
        indicator,
        infer_symptom(record, indicator),
        tally.requests,
        tally.failures,
        set(),
        set(),
    )
    if counts.symptom in PATH_SYMPTOMS:
        counts.path_failures = tally.failures
    if tally.failures >= MIN_OWN_FAILURES:
        counts.nodes.add('')
        counts.domains.add(service.locality.failure_domain)
    return counts


def pool_all_counts(
    service: ServiceHealth,
    record: TargetRecord,
    indicator: Indicator,
    received: tuple[ReceivedEvidence, ...],
    now: float,
) -> PooledCounts:
    """Return the counts of this node pooled with those of others."""
    counts = pool_own_counts(service, record, indicator)
    successes: float = 0
    if not counts.nodes:
        successes = _count_own_successes(record.tallies[indicator], now)
    counts.requests += successes
    for piece in received:
        if _applies_to(piece, record, indicator):
            _add_received(counts, piece)
    counts.confirmed = _is_confirmed(service, counts, successes)
    return counts


def _applies_to(
    piece: ReceivedEvidence,
    record: TargetRecord,
    indicator: Indicator,
) -> bool:
    if piece.indicator is not indicator:
        return False
    return record.health is not Health.TRIAL or piece.received_at > record.since


def _add_received(counts: PooledCounts, piece: ReceivedEvidence) -> None:
    evidence = piece.evidence
    if evidence.symptom in PATH_SYMPTOMS:
        counts.path_failures += evidence.failures
    if not counts.nodes:
        counts.symptom = evidence.symptom
    counts.requests += evidence.requests
    counts.failures += evidence.failures
    counts.nodes.add(piece.node)
    counts.domains.add(piece.domain)


def _count_own_successes(tally: Tally, now: float) -> float:
    if now - tally.succeeded_at > MAX_SUCCESS_AGE:
        return 0
    successes = tally.recent_requests - tally.recent_failures
    return min(MAX_OWN_SUCCESSES, successes)


def _is_confirmed(
    service: ServiceHealth, counts: PooledCounts, successes: float
) -> bool:
    if len(counts.nodes) < 2:
        return False
    if counts.path_failures < counts.failures / 2:
        return True
    if successes >= 1:
        # This node reaches it: the others' paths are at fault.
        return False
    return len(counts.domains) >= min(2, service.domain_count)
