"""Which life of a target the gate stands before."""

from msgspec.structs import replace
from pytest import fixture

from hillfield.announcements import Announcement, TargetRegistry
from hillfield.events import ListJournal
from hillfield.gate import Gate
from hillfield.gate.health import AttemptResult
from hillfield.gate.seating import Seating
from hillfield.model import Address, RequestPlan, TargetState
from hillfield.routing.requests import Arrival
from hillfield.settings.examples import make_example

ADDRESS = Address('10.0.0.7', 8000)
WALL = 1000
READY = Announcement('refunds', ADDRESS, 4)
DRAINING = Announcement('refunds', ADDRESS, 4, state=TargetState.DRAINING)


@fixture
def seating():
    settings = make_example()
    journal = ListJournal()
    gate = Gate(journal)
    return Seating(TargetRegistry(settings, journal), gate)


def test_a_heartbeat_seats_the_target(seating):
    told = seating.announce(0, WALL, 'i-1', 1, READY)
    assert told.ok.id.incarnation == WALL
    assert seating.gate.seat.name == 'i-1'


def test_a_later_life_takes_the_seat_and_an_earlier_one_never_back(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    later = seating.announce(1, WALL, 'i-2', 1, READY)
    assert later.ok.id.incarnation > WALL
    assert seating.announce(1.1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.seat.name == 'i-2'


def test_a_late_heartbeat_changes_nothing(seating):
    seating.announce(0, WALL, 'i-1', 5, DRAINING)
    assert seating.announce(1, WALL, 'i-1', 4, READY).is_error()
    assert seating.gate.seat is None


def test_a_heartbeat_after_the_farewell_changes_nothing(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    seating.withdraw(1, 'i-1')
    assert seating.announce(1.1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.seat is None


def test_a_farewell_binds_also_where_no_heartbeat_came_before(seating):
    """A node that restarted acknowledges a farewell; a beat comes late."""
    assert seating.withdraw(0, 'i-1').is_error()
    assert seating.announce(0.1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.seat is None


def test_leaving_binds_also_where_the_registry_refuses(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    moved = Announcement(
        'refunds',
        Address('10.0.0.7', 8001),
        4,
        state=TargetState.DRAINING,
    )
    seating.announce(1, WALL, 'i-1', 2, moved)
    assert seating.gate.seat is None


def test_a_silent_target_loses_its_seat(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    seating.follow_expiry(1)
    assert seating.gate.seat is not None
    seating.follow_expiry(3600)
    assert seating.gate.seat is None


def born(moment, announcement=READY):
    return replace(announcement, incarnation=moment)


def test_a_target_that_starts_again_under_its_name_is_a_new_life(seating):
    first = seating.announce(0, WALL, 'i-1', 9, born(50)).ok
    seating.gate._state.health.record(0, AttemptResult.BROKEN)
    again = seating.announce(1, WALL, 'i-1', 1, born(60)).ok
    assert again.id.incarnation > first.id.incarnation
    assert seating.gate.seat.target == again
    assert not seating.gate._state.health.quarantined


def test_a_late_heartbeat_of_the_earlier_life_changes_nothing(seating):
    seating.announce(0, WALL, 'i-1', 9, born(50))
    again = seating.announce(1, WALL, 'i-1', 1, born(60)).ok
    drained = born(50, DRAINING)
    assert seating.announce(1.1, WALL, 'i-1', 10, drained).is_error()
    assert seating.gate.seat.target.id == again.id


def test_the_drain_of_an_earlier_life_binds_that_life_only(seating):
    seating.announce(0, WALL, 'i-1', 9, born(50, DRAINING))
    assert seating.gate.seat is None
    seating.announce(1, WALL, 'i-1', 1, born(60))
    assert seating.gate.seat is not None


def test_a_target_may_come_back_after_a_farewell_if_it_was_born_anew(seating):
    seating.announce(0, WALL, 'i-1', 9, born(50))
    seating.withdraw(1, 'i-1', WALL)
    assert seating.announce(1.1, WALL, 'i-1', 10, born(50)).is_error()
    seating.announce(1.2, WALL, 'i-1', 1, born(60))
    assert seating.gate.seat is not None


def test_a_farewell_without_a_heartbeat_binds_those_born_before(seating):
    seating.withdraw(1, 'i-1', WALL)
    earlier = born(WALL - 1)
    assert seating.announce(1.1, WALL, 'i-1', 2, earlier).is_error()
    seating.announce(1.2, WALL, 'i-1', 1, born(WALL + 1))
    assert seating.gate.seat is not None


def test_a_heartbeat_that_no_longer_tells_its_birth_is_refused(seating):
    seating.announce(0, WALL, 'i-1', 1, born(50))
    assert seating.announce(1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.seat is not None


def test_requests_of_an_earlier_life_hold_no_slot_of_the_next(seating):
    state = seating.gate._state
    seating.announce(0, WALL, 'i-1', 9, born(50))
    plan = RequestPlan('refunds', 'r', '', idempotent=False, deadline=9)
    arrival = Arrival('a', plan, 9, replayable=True)
    target = state.target
    state.send(0, state.table.open(arrival), target)
    assert state.in_flight == 1
    seating.announce(1, WALL, 'i-1', 1, born(60))
    assert not state.in_flight
