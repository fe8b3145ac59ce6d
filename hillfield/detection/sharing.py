"""Tell other nodes and hear them."""

from collections.abc import Iterator
from typing import Final

from msgspec import Struct

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
    ServiceState,
    update_weights,
)
from hillfield.detection.transitions import (
    MAX_RECENT_EJECTIONS,
    compute_absence,
)
from hillfield.detection.evaluation import evaluate_target

MIN_SCORE: Final = 1.5
# A single slow answer is common and not worth telling.
MIN_SLOW_SCORE: Final = 2.3
MIN_SCORES: Final = (
    MIN_SCORE,
    MIN_SCORE,
    MIN_SLOW_SCORE,
    MIN_SCORE,
    MIN_SCORE,
)
MAX_EVIDENCE_AGE: Final = 5
MAX_PIECES_SENT: Final = 32


class _ScoredEvidence(Struct, frozen=True):
    score: float
    evidence: Evidence


def select_evidence(service: ServiceState, now: float) -> tuple[Evidence, ...]:
    """Return this node's own evidence, the weightiest first."""
    accused = [
        record
        for target in sorted(service.failing_targets)
        if (record := service.records.get(target)) is not None
    ]
    scored = [
        scored
        for record in accused
        if record.health is not Health.DRAINING
        for scored in _score_target(record, now)
    ]
    scored.sort(key=_order_by_score)
    return tuple(entry.evidence for entry in scored[:MAX_PIECES_SENT])


def receive_evidence(
    service: ServiceState,
    node: str,
    statements: tuple[ReceivedEvidence, ...],
    now: float,
) -> None:
    """Weigh what another node tells."""
    sound = tuple(filter(_is_consistent, statements))
    accused_now = service.reports.replace_report(node, sound)
    if accused_now:
        # What is said of the others tells what is usual now.
        update_weights(service, now)
    for accused in accused_now:
        record = service.records.get(accused)
        if record is None:
            continue
        if record.health is Health.EJECTED:
            _extend_ejection(service, record, now)
        else:
            evaluate_target(service, record, now)


def _is_consistent(statement: ReceivedEvidence) -> bool:
    evidence = statement.evidence
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
        # By the plain weights: where all fail, all must hear of it.
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
    service: ServiceState, record: TargetRecord, now: float
) -> None:
    # Another node's trial has failed, so this one need not try as well.
    # A node that the floor makes use the target tells of it all the time,
    # which counts only when this node's own trial is near.
    rest = record.out_until - now
    if rest > compute_absence(service, record) / 2:
        return
    record.recent_ejections = min(
        MAX_RECENT_EJECTIONS, record.recent_ejections + 1
    )
    record.out_until = now + compute_absence(service, record)
