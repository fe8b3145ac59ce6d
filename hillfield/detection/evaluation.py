"""Decide from counts whether a target is sick, and for whom."""

from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.health import Health, HealthTrigger
from hillfield.detection.indicators import Indicator
from hillfield.detection.pools import (
    PooledCounts,
    pool_all_counts,
    pool_own_counts,
)
from hillfield.detection.records import TargetRecord, compute_severity
from hillfield.detection.service import (
    BASE_WEIGHTS,
    LATENCY_INDICATORS,
    ServiceState,
    update_weights,
)
from hillfield.detection.transitions import apply_trigger, remove_from_rotation
from hillfield.detection.descriptions import describe

TRIAL_THRESHOLD_FACTOR: Final = 1 / 3
SUSPICION_FACTOR: Final = 0.5
CLEARING_FACTOR: Final = 0.25
MAX_WEIGHTS_AGE: Final = 0.05
MIN_FAILED_PROBES: Final = 2


def evaluate_target(
    service: ServiceState, record: TargetRecord, now: float
) -> None:
    """Decide on a target after a failure or after news of it."""
    if record.health is Health.EJECTED or record.health is Health.DRAINING:
        return
    pool = _find_worst_counts(service, record, now)
    if pool.margin >= 0 and now - service.weights_updated_at > MAX_WEIGHTS_AGE:
        update_weights(service, now)
        pool = _find_worst_counts(service, record, now)
    if pool.margin >= 0 and not _is_too_soon(service, record, pool, now):
        _eject_or_avoid(service, record, pool, now)
    elif record.health is Health.HEALTHY:
        if pool.margin >= -SUSPICION_FACTOR * service.threshold:
            _record_reason(service, record, pool)
            apply_trigger(service, record, HealthTrigger.SUSPECT, now)


def _is_too_soon(
    service: ServiceState,
    record: TargetRecord,
    pool: PooledCounts,
    now: float,
) -> bool:
    # Requests that queue behind each other are late together, so many late
    # ones at once say little more than one of them. Errors wait for a moment
    # too: others may be about to tell that all targets fail.
    wait = service.tuning.error_persistence
    if pool.indicator in LATENCY_INDICATORS:
        wait = service.tuning.latency_persistence
    if record.health is Health.SUSPECTED:
        return now - record.since < wait
    return record.health is Health.HEALTHY


def clear_suspicion(
    service: ServiceState, record: TargetRecord, now: float
) -> None:
    """Drop a suspicion that has come to nothing."""
    if _has_own_failures(service, record):
        return
    pool = _find_worst_counts(service, record, now)
    if pool.margin < (CLEARING_FACTOR - 1) * service.threshold:
        apply_trigger(service, record, HealthTrigger.CLEAR, now)
        record.symptom = Symptom.NONE


def _has_own_failures(service: ServiceState, record: TargetRecord) -> bool:
    """Tell whether the target's own requests still speak against it.

    By the plain weights: that the peers are late at the moment does not
    make its own answers good.
    """
    bound = SUSPICION_FACTOR * service.threshold
    return any(
        BASE_WEIGHTS[indicator].score(tally.requests, tally.failures) >= bound
        for indicator, tally in zip(Indicator, record.tallies, strict=True)
    )


def _eject_or_avoid(
    service: ServiceState,
    record: TargetRecord,
    pool: PooledCounts,
    now: float,
) -> None:
    _record_reason(service, record, pool)
    on_path = pool.path_failures >= pool.failures / 2
    local = on_path and not pool.confirmed
    trigger = HealthTrigger.AVOID if local else HealthTrigger.EJECT
    remove_from_rotation(service, record, trigger, now)


def _record_reason(
    service: ServiceState, record: TargetRecord, pool: PooledCounts
) -> None:
    rate = pool.failures / max(1, pool.requests)
    record.symptom = pool.symptom
    record.severity = compute_severity(pool.symptom, rate)
    record.reason = describe(
        pool.symptom,
        pool.requests,
        pool.failures,
        len(pool.nodes),
    )


def _find_worst_counts(
    service: ServiceState,
    record: TargetRecord,
    now: float,
) -> PooledCounts:
    threshold = _compute_threshold(service, record)
    worst = pool_own_counts(service, record, Indicator.UNREACHABLE)
    worst.margin = -threshold
    for indicator in Indicator:
        company = service.excess_suspects[indicator]
        bound = threshold + service.tuning.suspect_penalty * company
        pool = _score_counts(service, record, indicator, now)
        pool.margin -= bound
        if pool.margin > worst.margin:
            worst = pool
    return worst


def _score_counts(
    service: ServiceState,
    record: TargetRecord,
    indicator: Indicator,
    now: float,
) -> PooledCounts:
    weights = service.weights[indicator]
    own = pool_own_counts(service, record, indicator)
    own.margin = weights.score(own.requests, own.failures)
    statements = service.reports.for_target(record.target.id)
    if not statements:
        return own
    joint = pool_all_counts(service, record, indicator, statements, now)
    doubt = service.tuning.node_penalty * (len(joint.nodes) - 1)
    joint.margin = weights.score(joint.requests, joint.failures) - doubt
    own.confirmed = joint.confirmed
    if joint.confirmed and joint.margin > own.margin:
        return joint
    return own


def _compute_threshold(service: ServiceState, record: TargetRecord) -> float:
    threshold = service.threshold
    if record.health is Health.TRIAL:
        return threshold * TRIAL_THRESHOLD_FACTOR
    if _fails_probes(record) and _are_probes_plausible(service):
        return threshold - service.tuning.failed_probe_discount
    return threshold


def _fails_probes(record: TargetRecord) -> bool:
    return record.failed_probes >= MIN_FAILED_PROBES


def _are_probes_plausible(service: ServiceState) -> bool:
    # Probes that fail at many targets say something of the probes.
    failing = sum(map(_fails_probes, service.records.values()))
    return failing <= service.tuning.max_failing_probe_share * len(
        service.records
    )
