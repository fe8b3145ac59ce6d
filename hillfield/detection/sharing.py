"""Exchange evidence with other nodes."""

from collections.abc import Iterator
from typing import Final

from msgspec import Struct

from hillfield.detection.evaluation import evaluate_target
from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.health import Health
from hillfield.detection.indicators import Indicator
from hillfield.detection.latencies import (
    HUNG_FACTOR,
    SLOW_FACTOR,
    VERY_SLOW_FACTOR,
)
from hillfield.detection.pools import infer_symptom
from hillfield.detection.records import TargetRecord
from hillfield.detection.reports import ReceivedEvidence
from hillfield.detection.service import (
    BASE_WEIGHTS,
    ServiceHealth,
    update_weights,
)
from hillfield.detection.transitions import (
    MAX_RECENT_EJECTIONS,
    compute_absence,
)

MIN_SCORE: Final = 1.5
# A single slow answer is common and not worth sending.
MIN_SLOW_SCORE: Final = 2.3
MIN_SCORES: Final = (
    MIN_SCORE,
    MIN_SCORE,
    MIN_SLOW_SCORE,
    MIN_SCORE,
    MIN_SCORE,
)
# Seconds since the last failure.
MAX_EVIDENCE_AGE: Final = 5
MAX_PIECES_SENT: Final = 32


class _ScoredEvidence(Struct, frozen=True):
    score: float
    evidence: Evidence


def select_evidence(service: ServiceHealth, now: float) -> tuple[Evidence, ...]:
    """Return this node's own evidence, the strongest first."""
    failing = [
        record
        for target in sorted(service.failing_targets)
        if (record := service.records.get(target)) is not None
    ]
    scored = [
        scored
        for record in failing
        if record.health is not Health.DRAINING
        for scored in _score_target(record, now)
    ]
    scored.sort(key=_order_by_score)
    return tuple(each.evidence for each in scored[:MAX_PIECES_SENT])


def receive_evidence(
    service: ServiceHealth,
    node: str,
    received: tuple[ReceivedEvidence, ...],
    now: float,
) -> None:
    """Adopt another node's evidence and evaluate the targets it names."""
    consistent = tuple(filter(_is_consistent, received))
    newly_failing = service.reports.replace_report(node, consistent)
    if newly_failing:
        # Evidence on the peers changes the rate to compare with.
        update_weights(service, now)
    for target in newly_failing:
        record = service.records.get(target)
        if record is None:
            continue
        if record.health is Health.EJECTED:
            _extend_ejection(service, record, now)
        else:
            evaluate_target(service, record, now)


def _is_consistent(received: ReceivedEvidence) -> bool:
    evidence = received.evidence
    if evidence.symptom is Symptom.NONE:
        return False
    return 0 < evidence.failures <= evidence.requests


def _order_by_score(scored: _ScoredEvidence) -> float:
    return -scored.score


def _score_target(
    record: TargetRecord,
    now: float,
) -> Iterator[_ScoredEvidence]:
    for indicator in Indicator:
        tally = record.tallies[indicator]
        if not tally.failures or now - tally.failed_at > MAX_EVIDENCE_AGE:
            continue
        # Scored by the base weights: that all targets fail is reported too.
        weights = BASE_WEIGHTS[indicator]
        score = weights.score(tally.requests, tally.failures)
        if score < MIN_SCORES[indicator]:
            continue
        evidence = Evidence(
            record.target.id,
            infer_symptom(record, indicator),
            round(tally.requests),
            round(tally.failures),
            _select_slowness(indicator),
        )
        yield _ScoredEvidence(score, evidence)


def _select_slowness(indicator: Indicator) -> float:
    match indicator:
        case Indicator.SLOW:
            return SLOW_FACTOR
        case Indicator.VERY_SLOW:
            return VERY_SLOW_FACTOR
        case Indicator.HUNG:
            return HUNG_FACTOR
    return 1


def _extend_ejection(
    service: ServiceHealth, record: TargetRecord, now: float
) -> None:
    # Another node's trial has failed, so this node need not try as well.
    # A node whose floor keeps the target in use sends evidence all the time;
    # evidence counts only when this node's own trial is near.
    remaining = record.out_until - now
    if remaining > compute_absence(service, record) / 2:
        return
    record.recent_ejections = min(
        MAX_RECENT_EJECTIONS, record.recent_ejections + 1
    )
    record.out_until = now + compute_absence(service, record)
