"""Tests of what nodes tell each other and how they weigh it."""

import pytest

from hillfield.detection.board import HealthBoard
from hillfield.detection.evidence import Evidence, Symptom
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
SICK = TARGETS[0].id


def make_board() -> HealthBoard:
    board = HealthBoard(ServicePolicy('search'), HERE)
    board.adopt_targets(0, TARGETS)
    return board


def tell(
    board: HealthBoard,
    now: float,
    failures: int,
    symptom: Symptom = Symptom.WRONG,
    requests: int | None = None,
) -> None:
    asked = failures if requests is None else requests
    for node in ('one', 'two'):
        piece = Evidence(SICK, symptom, asked, failures, 1)
        board.adopt_evidence(now, node, node, (piece,))


def find_state(board: HealthBoard, now: float) -> str:
    return next(
        explanation.state
        for explanation in board.explain(now)
        if explanation.target == SICK
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
def test_senseless_evidence_is_ignored(symptom, failures, requests):
    board = make_board()
    tell(board, 0, failures, symptom, requests)
    for tick in range(5):
        board.tick(tick)
    assert find_state(board, 5) == 'healthy'


def test_node_that_the_floor_makes_use_a_target_does_not_bar_it_for_ever():
    board = make_board()
    for tick in range(900):
        now = tick / 10
        if now < 30:
            tell(board, now, 5 + tick)
        board.tick(now)
        if now < 25 and tick > 5:
            assert find_state(board, now) == 'ejected'
    assert find_state(board, now) == 'trial'


def test_stale_reports_are_forgotten():
    board = make_board()
    piece = Evidence(SICK, Symptom.WRONG, 9, 9, 1)
    board.adopt_evidence(0, 'one', 'b', (piece,))
    for tick in range(100):
        board.tick(tick / 10)
    board.adopt_evidence(10, 'two', 'c', (piece,))
    board.tick(10.1)
    board.tick(11)
    assert find_state(board, 11) != 'ejected'


def test_number_of_reports_is_bounded():
    reports = EvidenceReports()
    piece = Evidence(SICK, Symptom.WRONG, 9, 9, 1)
    for number in range(2 * MAX_NODES):
        node = str(number)
        reports.replace_report(node, (ReceivedEvidence(node, 'a', 0, piece),))
    assert len(reports.for_target(SICK)) == MAX_NODES
    reports.expire(1)
    assert not reports.for_target(SICK)


def test_loss_of_a_failure_domain_takes_all_its_targets_out():
    board = make_board()
    lost = {target.id for target in TARGETS[:2]}
    attempt = 0
    for tick in range(40):
        for offered in board.rotation().candidates:
            attempt += 1
            target = offered.target.id
            wrong = 'down' if target in lost and tick > 20 else ''
            board.note_started(tick / 10, target, attempt)
            board.observe(
                tick / 10 + 0.03,
                target,
                attempt,
                Answered(200, wrong=wrong),
            )
        board.tick(tick / 10 + 0.05)
    served = {candidate.target.id for candidate in board.rotation().candidates}
    assert served == {target.id for target in TARGETS} - lost
