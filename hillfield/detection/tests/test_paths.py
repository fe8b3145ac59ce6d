"""Test the detector of failed paths."""

from hillfield.detection.pathdetector import PathDetector
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


def make_detector(*targets):
    detector = PathDetector(ServicePolicy('s'), HERE)
    detector.adopt_targets(0, targets)
    return detector


def offered(detector):
    return [candidate.target for candidate in detector.rotation().candidates]


def test_failed_path_is_avoided_for_a_while():
    first, second = make_target(1), make_target(2)
    detector = make_detector(first, second)
    detector.observe(1, first.id, 1, ConnectFailed('no route'))
    assert offered(detector) == [second]
    detector.tick(1.1)
    assert offered(detector) == [second]
    detector.tick(1.3)
    assert offered(detector) == [first, second]


def test_each_further_failure_doubles_the_time():
    first, second = make_target(1), make_target(2)
    detector = make_detector(first, second)
    detector.observe(1, first.id, 1, ConnectFailed('no route'))
    detector.tick(1.3)
    detector.observe(1.4, first.id, 2, TimedOut())
    detector.tick(1.8)
    assert offered(detector) == [second]
    detector.tick(2)
    assert offered(detector) == [first, second]


def test_failures_of_the_target_do_not_count_for_the_path():
    first, second = make_target(1), make_target(2)
    detector = make_detector(first, second)
    detector.observe(1, first.id, 1, Broken('reset'))
    detector.observe(1, first.id, 2, Answered(500, 'status 500'))
    assert offered(detector) == [first, second]


def test_last_path_is_never_avoided():
    first = make_target(1)
    detector = make_detector(first)
    detector.observe(1, first.id, 1, ConnectFailed('no route'))
    assert offered(detector) == [first]


def test_draining_target_is_offered_no_work():
    detector = make_detector(
        make_target(1, TargetState.DRAINING), make_target(2)
    )
    assert len(offered(detector)) == 1


def test_avoided_path_is_reported_once():
    first, second = make_target(1), make_target(2)
    detector = make_detector(first, second)
    for number in range(3):
        detector.observe(1, first.id, number, ConnectFailed('no route'))
    assert len(detector.tick(1.1)) == 1
    assert detector.tick(1.2) == ()
