"""Incarnations of a target that announce in their answers that they leave."""

from msgspec.structs import replace
from pytest import fixture

from hillfield.announcements import Announcement, TargetRegistry
from hillfield.events import ListJournal
from hillfield.gate import Gate, IncarnationTracker
from hillfield.loadreports import WithheldWork
from hillfield.model import (
    Address,
    Outcome,
    RequestPlan,
    TargetNotice,
    TargetState,
)
from hillfield.routing.requests import Answered, Arrival, Done, Refuse
from hillfield.settings.examples import make_example

WALL = 1000
READY = Announcement('refunds', Address('10.0.0.7', 8000), 4)


@fixture
def seating():
    journal = ListJournal()
    registry = TargetRegistry(make_example(), journal)
    return IncarnationTracker(registry, Gate(journal))


def arrive(name, now, left=2):
    plan = RequestPlan('refunds', '', '', True, left, maximum_attempts=1)
    return Arrival(name, plan, now + left, True)


def is_declined(decision):
    if not isinstance(decision, Refuse):
        return False
    return decision.failure.outcome is Outcome.NOT_RUN


def test_an_incarnation_that_announces_leaving_gets_no_new_work(seating):
    announced = seating.announce(0, WALL, 'i-1', 1, READY).ok
    gate = seating.gate
    sent = gate.admit(1, arrive('a', 1))
    gate.record_notice(1.1, sent.attempt, TargetNotice(leaving=True))
    ended = gate.finish(1.1, sent.attempt, Answered(200))
    assert isinstance(ended, Done)
    later = gate.admit(1.2, arrive('b', 1.2))
    assert is_declined(later)
    listed = seating._registry.targets(1.2)
    assert listed[0].id == announced.id
    assert listed[0].state is TargetState.DRAINING


def test_requests_that_wait_for_a_leaving_incarnation_have_not_run(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    gate = seating.gate
    arrivals = [arrive(name, 1) for name in 'abcde']
    sent = [gate.admit(1, arrival) for arrival in arrivals]
    gate.record_notice(1.1, sent[0].attempt, TargetNotice(leaving=True))
    assert all(map(is_declined, gate.poll(1.1)))
    gate.record_written(1.1, sent[1].attempt)
    ended = gate.finish(1.5, sent[1].attempt, Answered(200))
    assert isinstance(ended, Done)


def test_a_later_heartbeat_does_not_revoke_leaving(
    seating,
):
    announced = seating.announce(0, WALL, 'i-1', 1, READY).ok
    seating.record_leaving(1, announced.id)
    assert seating.announce(2, WALL, 'i-1', 2, READY).is_ok()
    assert seating.gate.serving is None
    report = seating.gate.report(2)
    assert (report.free, report.held) == (0, WithheldWork.ALL)


def test_the_next_incarnation_at_the_address_is_served(seating):
    announced = seating.announce(0, WALL, 'i-1', 1, READY).ok
    seating.record_leaving(1, announced.id)
    seating.announce(4, WALL, 'i-2', 1, READY)
    assert seating.gate.serving.name == 'i-2'
    assert seating.gate.report(4).free == 4


def test_a_restart_under_the_same_name_is_served(seating):
    first = replace(READY, incarnation=5)
    announced = seating.announce(0, WALL, 'i-1', 1, first).ok
    seating.record_leaving(1, announced.id)
    again = replace(READY, incarnation=9)
    seating.announce(4, WALL, 'i-1', 1, again)
    assert seating.gate.serving is not None


def test_a_leaving_notice_of_an_earlier_incarnation_is_ignored(seating):
    earlier = seating.announce(0, WALL, 'i-1', 1, READY).ok
    seating.announce(1, WALL, 'i-2', 1, READY)
    seating.record_leaving(2, earlier.id)
    assert seating.gate.serving.name == 'i-2'
