"""Which life of a target the gate stands before."""

from pytest import fixture

from hillfield.announcements import Announcement, TargetRegistry
from hillfield.events import ListJournal
from hillfield.gate import Gate
from hillfield.gate.seating import Seating
from hillfield.model import Address, TargetState
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
