"""Decide from counts whether to suspect, eject or avoid a target."""

from typing import Final

from hillfield.detection.descriptions import describe
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
    ServiceHealth,
    update_weights,
)
from hillfield.detection.transitions import apply_trigger, remove_from_rotation

# Shares of the threshold at which a target on trial is ejected, a healthy one
# becomes suspected and a suspected one is cleared.
TRIAL_THRESHOLD_FACTOR: Final = 1 / 3
SUSPICION_FACTOR: Final = 0.5
CLEARING_FACTOR: Final = 0.25
# Seconds after which weights are recomputed before a target is taken out.
MAX_WEIGHTS_AGE: Final = 0.05
# Consecutive failed probes that lower the threshold.
MIN_FAILED_PROBES: Final = 2


def evaluate_target(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    """Suspect, eject or avoid the target if the counts call for it."""
    if record.health is Health.EJECTED or record.health is Health.DRAINING:
        return
    counts = _find_worst_counts(service, record, now)
    if (
        counts.margin >= 0
        and now - service.weights_updated_at > MAX_WEIGHTS_AGE
    ):
        update_weights(service, now)
        counts = _find_worst_counts(service, record, now)
    if counts.margin >= 0 and not _is_too_soon(service, record, counts, now):
        _eject_or_avoid(service, record, counts, now)
    elif record.health is Health.HEALTHY:
        if counts.margin >= -SUSPICION_FACTOR * service.threshold:
            _record_reason(service, record, counts)
            apply_trigger(service, record, HealthTrigger.SUSPECT, now)


def _is_too_soon(
    service: ServiceHealth,
    record: TargetRecord,
    counts: PooledCounts,
    now: float,
) -> bool:
    # Requests that queue behind each other are late together, so several late
    # ones at once are little more evidence than one. Errors must last for a
    # moment too: other nodes may be about to report that all targets fail.
    wait = service.tuning.error_persistence
    if counts.indicator in LATENCY_INDICATORS:
        wait = service.tuning.latency_persistence
    if record.health is Health.SUSPECTED:
        return now - record.since < wait
    return record.health is Health.HEALTHY


def clear_suspicion(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    """End a suspicion that the counts no longer support."""
    if _has_own_failures(service, record):
        return
    counts = _find_worst_counts(service, record, now)
    if counts.margin < (CLEARING_FACTOR - 1) * service.threshold:
        apply_trigger(service, record, HealthTrigger.CLEAR, now)
        record.symptom = Symptom.NONE


def _has_own_failures(service: ServiceHealth, record: TargetRecord) -> bool:
    """Return whether this node's own counts still speak against the target.

    They are scored by the base weights: that peers are late at the moment
    does not make the target's own answers good.
    """
    bound = SUSPICION_FACTOR * service.threshold
    return any(
        BASE_WEIGHTS[indicator].score(tally.requests, tally.failures) >= bound
        for indicator, tally in zip(Indicator, record.tallies, strict=True)
    )


def _eject_or_avoid(
    service: ServiceHealth,
    record: TargetRecord,
    counts: PooledCounts,
    now: float,
) -> None:
    _record_reason(service, record, counts)
    is_path_fault = counts.path_failures >= counts.failures / 2
    is_local = is_path_fault and not counts.confirmed
    trigger = HealthTrigger.AVOID if is_local else HealthTrigger.EJECT
    remove_from_rotation(service, record, trigger, now)


def _record_reason(
    service: ServiceHealth, record: TargetRecord, counts: PooledCounts
) -> None:
    rate = counts.failures / max(1, counts.requests)
    record.symptom = counts.symptom
    record.severity = compute_severity(counts.symptom, rate)
    record.reason = describe(
        counts.symptom,
        counts.requests,
        counts.failures,
        len(counts.nodes),
    )


def _find_worst_counts(
    service: ServiceHealth,
    record: TargetRecord,
    now: float,
) -> PooledCounts:
    threshold = _compute_threshold(service, record)
    worst = pool_own_counts(service, record, Indicator.UNREACHABLE)
    worst.margin = -threshold
    for indicator in Indicator:
        excess = service.excess_suspects[indicator]
        bound = threshold + service.tuning.suspect_penalty * excess
        counts = _score_counts(service, record, indicator, now)
        counts.margin -= bound
        if counts.margin > worst.margin:
            worst = counts
    return worst


def _score_counts(
    service: ServiceHealth,
    record: TargetRecord,
    indicator: Indicator,
    now: float,
) -> PooledCounts:
    weights = service.weights[indicator]
    own = pool_own_counts(service, record, indicator)
    own.margin = weights.score(own.requests, own.failures)
    received = service.reports.for_target(record.target.id)
    if not received:
        return own
    joint = pool_all_counts(service, record, indicator, received, now)
    penalty = service.tuning.node_penalty * (len(joint.nodes) - 1)
    joint.margin = weights.score(joint.requests, joint.failures) - penalty
    own.confirmed = joint.confirmed
    if joint.confirmed and joint.margin > own.margin:
        return joint
    return own


def _compute_threshold(service: ServiceHealth, record: TargetRecord) -> float:
    threshold = service.threshold
    if record.health is Health.TRIAL:
        return threshold * TRIAL_THRESHOLD_FACTOR
    if _fails_probes(record) and _are_probes_plausible(service):
        return threshold - service.tuning.failed_probe_discount
    return threshold


def _fails_probes(record: TargetRecord) -> bool:
    return record.failed_probes >= MIN_FAILED_PROBES


def _are_probes_plausible(service: ServiceHealth) -> bool:
    # Probes that fail at many targets point to a fault of the probes.
    failing = sum(map(_fails_probes, service.records.values()))
    return failing <= service.tuning.max_failing_probe_share * len(
        service.records
    )
