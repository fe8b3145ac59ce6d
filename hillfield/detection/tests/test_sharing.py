"""Test the exchange of evidence between nodes."""

import pytest

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.healthdetector import HealthDetector
from hillfield.detection.reports import (
    MAX_NODES,
    EvidenceReports,
    ReceivedEvidence,
)
from hillfield.model import Address, Locality, ServicePolicy, Target, TargetId
from hillfield.routing.requests import Answered

HERE = Locality('region', 'a', 'node')
TARGETS = tuple(
    Target(
        TargetId('search', Address('127.0.0.1', port), 1),
        Locality('region', 'a', f'host-{port}'),
        slots=4,
        connection_limit=300,
    )
    for port in range(1, 7)
)
UNHEALTHY = TARGETS[0].id


def make_detector() -> HealthDetector:
    detector = HealthDetector(ServicePolicy('search'), HERE)
    detector.adopt_targets(0, TARGETS)
    return detector


def report(
    detector: HealthDetector,
    now: float,
    failures: int,
    symptom: Symptom = Symptom.WRONG,
    requests: int | None = None,
) -> None:
    total = failures if requests is None else requests
    for node in ('one', 'two'):
        piece = Evidence(UNHEALTHY, symptom, total, failures, 1)
        detector.adopt_evidence(now, node, node, (piece,))


def get_state(detector: HealthDetector, now: float) -> str:
    return next(
        explanation.state
        for explanation in detector.explain(now)
        if explanation.target == UNHEALTHY
    )


@pytest.mark.parametrize(
    ('symptom', 'failures', 'requests'),
    [
        (Symptom.NONE, 9, 9),
        (Symptom.WRONG, 0, 9),
        (Symptom.WRONG, -9, 9),
        (Symptom.WRONG, 9, 3),
    ],
)
def test_inconsistent_evidence_is_ignored(symptom, failures, requests):
    detector = make_detector()
    report(detector, 0, failures, symptom, requests)
    for tick in range(5):
        detector.tick(tick)
    assert get_state(detector, 5) == 'healthy'


def test_evidence_of_a_node_at_its_floor_does_not_eject_for_ever():
    detector = make_detector()
    for tick in range(900):
        now = tick / 10
        if now < 30:
            report(detector, now, 5 + tick)
        detector.tick(now)
        if now < 25 and tick > 5:
            assert get_state(detector, now) == 'ejected'
    assert get_state(detector, now) == 'trial'


def test_expired_reports_are_removed():
    detector = make_detector()
    piece = Evidence(UNHEALTHY, Symptom.WRONG, 9, 9, 1)
    detector.adopt_evidence(0, 'one', 'b', (piece,))
    for tick in range(100):
        detector.tick(tick / 10)
    detector.adopt_evidence(10, 'two', 'c', (piece,))
    detector.tick(10.1)
    detector.tick(11)
    assert get_state(detector, 11) != 'ejected'


def test_number_of_reports_is_bounded():
    reports = EvidenceReports()
    piece = Evidence(UNHEALTHY, Symptom.WRONG, 9, 9, 1)
    for number in range(2 * MAX_NODES):
        node = str(number)
        reports.replace_report(node, (ReceivedEvidence(node, 'a', 0, piece),))
    assert len(reports.for_target(UNHEALTHY)) == MAX_NODES
    reports.expire(1)
    assert not reports.for_target(UNHEALTHY)


def test_loss_of_a_failure_domain_ejects_all_its_targets():
    detector = make_detector()
    lost = {target.id for target in TARGETS[:2]}
    attempt = 0
    for tick in range(40):
        for candidate in detector.rotation().candidates:
            attempt += 1
            target = candidate.target.id
            wrong = 'down' if target in lost and tick > 20 else ''
            detector.record_start(tick / 10, target, attempt)
            detector.observe(
                tick / 10 + 0.03,
                target,
                attempt,
                Answered(200, wrong=wrong),
            )
        detector.tick(tick / 10 + 0.05)
    in_rotation = {
        offered.target.id for offered in detector.rotation().candidates
    }
    assert in_rotation == {target.id for target in TARGETS} - lost
