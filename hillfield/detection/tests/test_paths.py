"""The board that judges ways only."""

from hillfield.detection.paths import PathBoard
from hillfield.model import (
    Address,
    Locality,
    ServicePolicy,
    Target,
    TargetId,
    TargetState,
)
from hillfield.routing.requests import Answered, Broken, ConnectFailed, TimedOut

HERE = Locality('north', 'a', 'h0')


def make_target(number, state=TargetState.READY):
    identity = TargetId('s', Address(f'10.0.0.{number}', 80), 1)
    locality = Locality('north', 'a', f'h{number}')
    return Target(identity, locality, 4, 300, state=state)


def make_board(*targets):
    board = PathBoard(ServicePolicy('s'), HERE)
    board.adopt_targets(0, targets)
    return board


def offered(board):
    return [candidate.target for candidate in board.rotation().candidates]


def test_a_way_that_failed_is_left_alone_for_a_while():
    first, second = make_target(1), make_target(2)
    board = make_board(first, second)
    board.observe(1, first.id, 1, ConnectFailed('no route'))
    assert offered(board) == [second]
    board.tick(1.1)
    assert offered(board) == [second]
    board.tick(1.3)
    assert offered(board) == [first, second]


def test_each_further_failure_doubles_the_time():
    first, second = make_target(1), make_target(2)
    board = make_board(first, second)
    board.observe(1, first.id, 1, ConnectFailed('no route'))
    board.tick(1.3)
    board.observe(1.4, first.id, 2, TimedOut())
    board.tick(1.8)
    assert offered(board) == [second]
    board.tick(2)
    assert offered(board) == [first, second]


def test_the_target_s_own_failures_say_nothing_of_the_way():
    first, second = make_target(1), make_target(2)
    board = make_board(first, second)
    board.observe(1, first.id, 1, Broken('reset'))
    board.observe(1, first.id, 2, Answered(500, 'status 500'))
    assert offered(board) == [first, second]


def test_the_last_way_is_never_given_up():
    first = make_target(1)
    board = make_board(first)
    board.observe(1, first.id, 1, ConnectFailed('no route'))
    assert offered(board) == [first]


def test_a_draining_target_is_offered_no_work():
    board = make_board(make_target(1, TargetState.DRAINING), make_target(2))
    assert len(offered(board)) == 1


def test_one_event_tells_of_an_avoided_way():
    first, second = make_target(1), make_target(2)
    board = make_board(first, second)
    for number in range(3):
        board.observe(1, first.id, number, ConnectFailed('no route'))
    assert len(board.tick(1.1)) == 1
    assert board.tick(1.2) == ()
