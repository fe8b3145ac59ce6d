"""Which incarnation of a target a gate serves."""

from msgspec.structs import replace
from pytest import fixture

from hillfield.announcements import Announcement, TargetRegistry
from hillfield.announcements.departures import DEPARTURE_SECONDS
from hillfield.events import ListJournal
from hillfield.gate import Gate
from hillfield.gate.health import AttemptResult
from hillfield.gate.incarnations import NAMES_KEPT, IncarnationTracker
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
    return IncarnationTracker(TargetRegistry(settings, journal), gate)


def test_a_heartbeat_makes_the_target_served(seating):
    announced = seating.announce(0, WALL, 'i-1', 1, READY)
    assert announced.ok.id.incarnation == WALL
    assert seating.gate.serving.name == 'i-1'


def test_a_later_incarnation_replaces_an_earlier_one_for_good(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    later = seating.announce(1, WALL, 'i-2', 1, READY)
    assert later.ok.id.incarnation > WALL
    assert seating.announce(1.1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.serving.name == 'i-2'


def test_a_heartbeat_out_of_order_is_ignored(seating):
    seating.announce(0, WALL, 'i-1', 5, DRAINING)
    assert seating.announce(1, WALL, 'i-1', 4, READY).is_error()
    assert seating.gate.serving is None


def test_a_heartbeat_after_a_withdrawal_is_ignored(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    seating.withdraw(1, 'i-1')
    assert seating.announce(1.1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.serving is None


def test_a_withdrawal_without_a_heartbeat_is_binding(seating):
    """A restarted node acknowledges a withdrawal; a late heartbeat follows."""
    assert seating.withdraw(0, 'i-1').is_error()
    assert seating.announce(0.1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.serving is None


def test_leaving_is_binding_where_the_registry_refuses(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    moved = Announcement(
        'refunds',
        Address('10.0.0.7', 8001),
        4,
        state=TargetState.DRAINING,
    )
    seating.announce(1, WALL, 'i-1', 2, moved)
    assert seating.gate.serving is None


def test_a_target_without_heartbeats_is_no_longer_served(seating):
    seating.announce(0, WALL, 'i-1', 1, READY)
    seating.drop_expired(1)
    assert seating.gate.serving is not None
    seating.drop_expired(3600)
    assert seating.gate.serving is None


def started_at(moment, announcement=READY):
    return replace(announcement, incarnation=moment)


def test_a_restart_under_the_same_name_is_a_new_incarnation(seating):
    first = seating.announce(0, WALL, 'i-1', 9, started_at(50)).ok
    seating.gate._state.health.record(0, AttemptResult.BROKEN)
    restarted = seating.announce(1, WALL, 'i-1', 1, started_at(60)).ok
    assert restarted.id.incarnation > first.id.incarnation
    assert seating.gate.serving.target == restarted
    assert not seating.gate._state.health.quarantined


def test_a_late_heartbeat_of_an_earlier_incarnation_is_ignored(seating):
    seating.announce(0, WALL, 'i-1', 9, started_at(50))
    restarted = seating.announce(1, WALL, 'i-1', 1, started_at(60)).ok
    drained = started_at(50, DRAINING)
    assert seating.announce(1.1, WALL, 'i-1', 10, drained).is_error()
    assert seating.gate.serving.target.id == restarted.id


def test_the_drain_of_an_earlier_incarnation_binds_only_that_one(seating):
    seating.announce(0, WALL, 'i-1', 9, started_at(50, DRAINING))
    assert seating.gate.serving is None
    seating.announce(1, WALL, 'i-1', 1, started_at(60))
    assert seating.gate.serving is not None


def test_a_restarted_target_is_served_after_a_withdrawal(seating):
    seating.announce(0, WALL, 'i-1', 9, started_at(50))
    seating.withdraw(1, 'i-1', WALL)
    assert seating.announce(1.1, WALL, 'i-1', 10, started_at(50)).is_error()
    seating.announce(1.2, WALL, 'i-1', 1, started_at(60))
    assert seating.gate.serving is not None


def test_a_withdrawal_without_a_heartbeat_binds_earlier_starts(seating):
    seating.withdraw(1, 'i-1', WALL)
    earlier = started_at(WALL - 1)
    assert seating.announce(1.1, WALL, 'i-1', 2, earlier).is_error()
    seating.announce(1.2, WALL, 'i-1', 1, started_at(WALL + 1))
    assert seating.gate.serving is not None


def test_a_heartbeat_without_its_start_time_is_refused(seating):
    seating.announce(0, WALL, 'i-1', 1, started_at(50))
    assert seating.announce(1, WALL, 'i-1', 2, READY).is_error()
    assert seating.gate.serving is not None


def test_requests_of_an_earlier_incarnation_hold_no_slot(seating):
    state = seating.gate._state
    seating.announce(0, WALL, 'i-1', 9, started_at(50))
    plan = RequestPlan('refunds', 'r', '', idempotent=False, deadline=9)
    arrival = Arrival('a', plan, 9, replayable=True)
    target = state.target
    state.send(0, state.table.open(arrival), target)
    assert state.in_flight == 1
    seating.announce(1, WALL, 'i-1', 1, started_at(60))
    assert not state.in_flight


BORN = 500
LIVING = replace(READY, incarnation=BORN)
LATER = replace(READY, incarnation=BORN + 1)


def is_served(seating, name):
    serving = seating.gate.serving
    return serving is not None and serving.name == name


def test_a_first_heartbeat_waits_for_the_stored_departures(seating):
    # Guards against a late heartbeat that revives a target which has left.
    seating.held.start(0)
    assert seating.announce(0.1, WALL, 'i-1', 1, LIVING).is_error()
    assert seating.gate.serving is None
    seating.restore(0.2, {'i-1': BORN})
    assert seating.gate.serving is None
    assert seating.announce(0.3, WALL, 'i-1', 2, LIVING).is_error()


def test_a_heartbeat_that_waited_counts_once_the_departures_are_read(seating):
    # Guards against living targets that a restarted node doesn't serve.
    seating.held.start(0)
    seating.announce(0.1, WALL, 'i-1', 1, LIVING)
    seating.restore(0.2, {'i-0': BORN})
    assert seating.gate.serving.name == 'i-1'


def test_a_heartbeat_from_before_the_start_is_never_believed(seating):
    # Guards against a late heartbeat that counts because time has passed.
    seating.held.start(0)
    last = DEPARTURE_SECONDS - 0.1
    assert seating.announce(0.1, WALL, 'i-1', 1, LIVING).is_error()
    assert seating.announce(last, WALL, 'i-1', 2, LIVING).is_error()
    seating.release_held(DEPARTURE_SECONDS)
    assert not is_served(seating, 'i-1')


def test_a_heartbeat_counts_once_all_departures_are_forgotten(seating):
    # Guards against targets that never get a request.
    seating.held.start(0)
    seating.announce(0.1, WALL, 'i-1', 1, LIVING)
    seating.announce(DEPARTURE_SECONDS, WALL, 'i-1', 2, LIVING)
    assert is_served(seating, 'i-1')


def test_a_departure_that_another_node_tells_binds_before_all_are_known(
    seating,
):
    # Guards against a departure that waits for others that nobody knows.
    seating.held.start(0)
    seating.announce(0.1, WALL, 'i-1', 1, LIVING)
    seating.apply_departures(0.2, {'i-1': BORN})
    assert seating.held.is_holding(0.3)
    seating.restore(0.4, {})
    assert seating.gate.serving is None


def test_a_departure_that_is_read_late_still_binds(seating):
    # Guards against farewells forgotten because the store answered late.
    seating.announce(0, WALL, 'i-1', 1, LIVING)
    seating.restore(5, {'i-1': BORN})
    assert seating.gate.serving is None
    assert seating.announce(5.1, WALL, 'i-1', 2, LIVING).is_error()


def test_a_later_incarnation_of_a_name_that_left_is_served(seating):
    # Guards against a name that is never served again after its farewell.
    seating.held.start(0)
    seating.announce(0.1, WALL, 'i-1', 1, LATER)
    seating.restore(0.2, {'i-1': BORN})
    assert seating.gate.serving.name == 'i-1'
    assert not seating.departures.starts


def test_a_departure_does_not_end_an_incarnation_that_began_after_it(seating):
    # Guards against a late reading that takes out the next incarnation.
    seating.announce(0, WALL, 'i-1', 1, LATER)
    seating.restore(5, {'i-1': BORN})
    assert seating.gate.serving.name == 'i-1'


def test_a_drain_is_a_departure_that_later_heartbeats_do_not_change(seating):
    # Guards against a write to the store at each heartbeat of a drain.
    seating.announce(0, WALL, 'i-1', 1, DRAINING)
    seating.announce(1, WALL + 1, 'i-1', 2, DRAINING)
    assert dict(seating.departures.starts) == {'i-1': WALL}


def test_a_drain_is_not_held(seating):
    # Guards against drains that wait for the store.
    seating.held.start(0)
    assert seating.announce(0.1, WALL, 'i-1', 1, DRAINING).is_ok()


def test_the_latest_departures_are_remembered(seating):
    # Guards against farewells that make room for older ones.
    others = map(str, range(NAMES_KEPT - 1))
    for name in ('i-1', *others, 'i-1', 'last'):
        seating.withdraw(0, name, BORN)
    starts = seating.departures.starts
    assert 'i-1' in starts
    assert len(starts) == NAMES_KEPT


def test_what_answers_say_of_leaving_is_no_departure_to_store(seating):
    # Guards against acknowledgements that wait for the store for nothing.
    served = seating.announce(0, WALL, 'i-1', 1, LIVING)
    seating.record_leaving(1, served.ok.id)
    seating.announce(2, WALL, 'i-1', 2, LIVING)
    assert not seating.departures.starts
