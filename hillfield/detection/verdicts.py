"""Decide from counts whether a target is sick, and for whom."""

from typing import Final

from hillfield.detection.evidence import Symptom
from hillfield.detection.health import Health, HealthTrigger
from hillfield.detection.indicators import Indicator
from hillfield.detection.pools import Pool, pool_all, pool_own
from hillfield.detection.records import TargetRecord, rank_sickness
from hillfield.detection.service import (
    PLAIN_WEIGHTS,
    SLOWNESS,
    Service,
    refresh_weights,
)
from hillfield.detection.transitions import follow, take_out
from hillfield.detection.wording import describe

TRIAL_PART: Final = 1 / 3
SUSPICION_PART: Final = 0.5
CLEARED_PART: Final = 0.25
STALE_WEIGHTS: Final = 0.05
LEAST_FAILED_PROBES: Final = 2


def judge(service: Service, record: TargetRecord, now: float) -> None:
    """Decide on a target after a failure or after news of it."""
    if record.health is Health.EJECTED or record.health is Health.DRAINING:
        return
    pool = _find_worst(service, record, now)
    if pool.margin >= 0 and now - service.weighed > STALE_WEIGHTS:
        refresh_weights(service, now)
        pool = _find_worst(service, record, now)
    if pool.margin >= 0 and not _is_too_soon(service, record, pool, now):
        _convict(service, record, pool, now)
    elif record.health is Health.HEALTHY:
        if pool.margin >= -SUSPICION_PART * service.threshold:
            _explain(service, record, pool)
            follow(service, record, HealthTrigger.SUSPECT, now)


def _is_too_soon(
    service: Service,
    record: TargetRecord,
    pool: Pool,
    now: float,
) -> bool:
    # Requests that queue behind each other are late together, so many late
    # ones at once say little more than one of them. Errors wait for a moment
    # too: others may be about to tell that all targets fail.
    wait = service.tuning.error_persistence
    if pool.indicator in SLOWNESS:
        wait = service.tuning.persistence
    if record.health is Health.SUSPECTED:
        return now - record.since < wait
    return record.health is Health.HEALTHY


def clear(service: Service, record: TargetRecord, now: float) -> None:
    """Drop a suspicion that has come to nothing."""
    if _is_blamed(service, record):
        return
    pool = _find_worst(service, record, now)
    if pool.margin < (CLEARED_PART - 1) * service.threshold:
        follow(service, record, HealthTrigger.CLEAR, now)
        record.symptom = Symptom.NONE


def _is_blamed(service: Service, record: TargetRecord) -> bool:
    """Tell whether the target's own requests still speak against it.

    By the plain weights: that the peers are late at the moment does not
    make its own answers good.
    """
    bound = SUSPICION_PART * service.threshold
    return any(
        PLAIN_WEIGHTS[indicator].score(tally.requests, tally.failures) >= bound
        for indicator, tally in zip(Indicator, record.tallies, strict=True)
    )


def _convict(
    service: Service,
    record: TargetRecord,
    pool: Pool,
    now: float,
) -> None:
    _explain(service, record, pool)
    on_path = pool.path_failures >= pool.failures / 2
    local = on_path and not pool.confirmed
    trigger = HealthTrigger.SHUN if local else HealthTrigger.CONDEMN
    take_out(service, record, trigger, now)


def _explain(service: Service, record: TargetRecord, pool: Pool) -> None:
    rate = pool.failures / max(1, pool.requests)
    record.symptom = pool.symptom
    record.sickness = rank_sickness(pool.symptom, rate)
    record.reason = describe(
        pool.symptom,
        pool.requests,
        pool.failures,
        len(pool.nodes),
    )


def _find_worst(
    service: Service,
    record: TargetRecord,
    now: float,
) -> Pool:
    threshold = _find_threshold(service, record)
    worst = pool_own(service, record, Indicator.UNREACHABLE)
    worst.margin = -threshold
    for indicator in Indicator:
        company = service.company[indicator]
        bound = threshold + service.tuning.company_doubt * company
        pool = _weigh_pools(service, record, indicator, now)
        pool.margin -= bound
        if pool.margin > worst.margin:
            worst = pool
    return worst


def _weigh_pools(
    service: Service,
    record: TargetRecord,
    indicator: Indicator,
    now: float,
) -> Pool:
    weights = service.weights[indicator]
    own = pool_own(service, record, indicator)
    own.margin = weights.score(own.requests, own.failures)
    statements = service.reports.about(record.target.id)
    if not statements:
        return own
    joint = pool_all(service, record, indicator, statements, now)
    doubt = service.tuning.doubt * (len(joint.nodes) - 1)
    joint.margin = weights.score(joint.requests, joint.failures) - doubt
    own.confirmed = joint.confirmed
    if joint.confirmed and joint.margin > own.margin:
        return joint
    return own


def _find_threshold(service: Service, record: TargetRecord) -> float:
    threshold = service.threshold
    if record.health is Health.TRIAL:
        return threshold * TRIAL_PART
    if _fails_probes(record) and _probes_tell(service):
        return threshold - service.tuning.probe_doubt
    return threshold


def _fails_probes(record: TargetRecord) -> bool:
    return record.failed_probes >= LEAST_FAILED_PROBES


def _probes_tell(service: Service) -> bool:
    # Probes that fail at many targets say something of the probes.
    failing = sum(map(_fails_probes, service.records.values()))
    return failing <= service.tuning.believed_probes * len(service.records)
