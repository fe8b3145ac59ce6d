"""Choice of the target for the next attempt."""

from collections import Counter
from heapq import heappop, heappush
from random import Random

from hillfield.detection.health import Health
from hillfield.detection.healthdetector import HealthDetector
from hillfield.detection.rotation import Candidate, Rotation
from hillfield.model import (
    Address,
    Locality,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing import Dispatcher
from hillfield.routing.requests import Answered, Arrival
from hillfield.routing.selection import Selector

HERE = Locality('r', 'a', 'h')
CHOICES = 300
SLOW = 0.4
QUICK = 0.02
LOOKUP = RequestPlan('s', 'r', '', True, 5, maximum_attempts=2)


def make_target(number):
    identity = TargetId('s', Address(f'10.0.0.{number}', 80), 1)
    return Target(identity, HERE, 4, 400)


TARGETS = tuple(make_target(number) for number in range(6))


def make_selector(watched):
    selector = Selector(HERE, Random(1))
    selector.adopt_allowances({target.id: 4 for target in TARGETS})
    candidates = tuple(
        Candidate(target, 1, keeps_share=watched and target is TARGETS[0])
        for target in TARGETS
    )
    selector.adopt(Rotation(candidates, frozenset(), 24, 24))
    return selector


def answer(selector, target, seconds):
    selector.record_sent(target.id)
    selector.record_ended(1, target.id, seconds, failed=False)


def count_choices(watched):
    selector = make_selector(watched)
    for target in TARGETS:
        for _ in range(10):
            answer(selector, target, SLOW if target is TARGETS[0] else QUICK)
    chosen = Counter(selector.choose(1).id for _ in range(CHOICES))
    return chosen[TARGETS[0].id]


def test_a_slow_target_gets_few_requests():
    assert count_choices(watched=False) < CHOICES / 40


def test_a_suspected_slow_target_still_gets_its_share():
    """With 2 of 700 requests, a target stayed suspected for 14 s."""
    assert count_choices(watched=True) > CHOICES / 8


def serve(dispatcher, now, number):
    """Send a request; return when it is answered, and its attempt."""
    arrival = Arrival(f'r{number}', LOOKUP, now + 5, True)
    sent = dispatcher.admit(now, arrival)
    seconds = SLOW if sent.target == TARGETS[0].id else QUICK
    dispatcher.record_written(now, sent.attempt)
    return now + seconds, sent.attempt


def test_a_suspected_target_is_decided_on_soon():
    policy = ServicePolicy('s')
    detector = HealthDetector(policy, HERE)
    dispatcher = Dispatcher(policy, HERE, detector, Random(1))
    dispatcher.adopt_targets(0, TARGETS)
    open_attempts: list[tuple[float, int]] = []
    suspected = 0
    for step in range(500):
        now = step / 50
        while open_attempts and open_attempts[0][0] <= now:
            end, attempt = heappop(open_attempts)
            dispatcher.finish(end, attempt, Answered(200))
        heappush(open_attempts, serve(dispatcher, now, step))
        if not step % 5:
            dispatcher.tick(now)
        state = detector.explain(now)[0].state
        suspected += state == Health.SUSPECTED
    assert suspected / 50 < 1


def becomes_watched(observation, seconds):
    """Return whether a target that just became suspected is watched."""
    detector = HealthDetector(ServicePolicy('s'), HERE)
    detector.adopt_targets(0, TARGETS)
    for number in range(60):
        target = TARGETS[number % 6].id
        start = number / 100
        end = start + QUICK
        seen = Answered(200)
        if target == TARGETS[0].id:
            end = start + seconds
            seen = observation
        detector.record_start(start, target, number)
        detector.observe(end, target, number, seen)
        detector.tick(end)
        if detector.explain(end)[0].state == Health.SUSPECTED:
            return detector.rotation().candidates[0].keeps_share
    raise AssertionError('never suspected')


def test_a_target_that_answers_late_is_watched():
    assert becomes_watched(Answered(200), SLOW)


def test_a_target_that_fails_is_not_watched():
    """More lookups failed at a flapping target than could be retried."""
    assert not becomes_watched(Answered(500, 'status'), QUICK)
