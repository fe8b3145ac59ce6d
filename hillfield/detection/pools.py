"""Sum up what this node and others count of one indicator."""

from dataclasses import dataclass
from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.health import Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.records import TargetRecord
from hillfield.detection.reports import ReceivedEvidence
from hillfield.detection.service import ServiceState
from hillfield.detection.tallies import Tally

MIN_OWN_FAILURES: Final = 0.5
MAX_OWN_SUCCESSES: Final = 5.0
MAX_SUCCESS_AGE: Final = 1.0
# A path can cause these; only a target itself answers wrongly or late.
PATH_SYMPTOMS: Final = frozenset(
    (Symptom.UNREACHABLE, Symptom.STALLED, Symptom.BROKEN),
)


@dataclass(slots=True)
class PooledCounts:
    """Sum up what this node and others count of one indicator.

    `margin` is by how much the score passes the threshold (below 0: not);
    `confirmed` says that enough points of view agree.
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
    """Return what the indicator's failures at this node mean."""
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
    service: ServiceState,
    record: TargetRecord,
    indicator: Indicator,
) -> PooledCounts:
    """Sum up what this node counts."""
    tally = record.tallies[indicator]
    pool = PooledCounts(
        indicator,
        infer_symptom(record, indicator),
        tally.requests,
        tally.failures,
        set(),
        set(),
    )
    if pool.symptom in PATH_SYMPTOMS:
        pool.path_failures = tally.failures
    if tally.failures >= MIN_OWN_FAILURES:
        pool.nodes.add('')
        pool.domains.add(service.locality.failure_domain)
    return pool


def pool_all_counts(
    service: ServiceState,
    record: TargetRecord,
    indicator: Indicator,
    statements: tuple[ReceivedEvidence, ...],
    now: float,
) -> PooledCounts:
    """Sum up what this node and others count."""
    pool = pool_own_counts(service, record, indicator)
    clean: float = 0
    if not pool.nodes:
        clean = _count_own_successes(record.tallies[indicator], now)
    pool.requests += clean
    for statement in statements:
        if _applies_to(statement, record, indicator):
            _add_received(pool, statement)
    pool.confirmed = _is_confirmed(service, pool, clean)
    return pool


def _applies_to(
    statement: ReceivedEvidence,
    record: TargetRecord,
    indicator: Indicator,
) -> bool:
    if statement.indicator is not indicator:
        return False
    return (
        record.health is not Health.TRIAL
        or statement.received_at > record.since
    )


def _add_received(pool: PooledCounts, statement: ReceivedEvidence) -> None:
    evidence = statement.evidence
    if evidence.symptom in PATH_SYMPTOMS:
        pool.path_failures += evidence.failures
    if not pool.nodes:
        pool.symptom = evidence.symptom
    pool.requests += evidence.requests
    pool.failures += evidence.failures
    pool.nodes.add(statement.node)
    pool.domains.add(statement.domain)


def _count_own_successes(tally: Tally, now: float) -> float:
    if now - tally.succeeded_at > MAX_SUCCESS_AGE:
        return 0
    clean = tally.recent_requests - tally.recent_failures
    return min(MAX_OWN_SUCCESSES, clean)


def _is_confirmed(
    service: ServiceState, pool: PooledCounts, clean: float
) -> bool:
    if len(pool.nodes) < 2:
        return False
    if pool.path_failures < pool.failures / 2:
        return True
    if clean >= 1:
        # This node gets through: the others' paths are at fault.
        return False
    return len(pool.domains) >= min(2, service.domain_count)
