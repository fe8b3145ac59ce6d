"""The registry lists live targets, drains them and removes silent ones."""

from typing import Any

from msgspec.structs import replace

from hillfield.announcements import Announcement, Refusal, TargetRegistry
from hillfield.events import EventCode, ListJournal
from hillfield.model import Address, Locality, TargetState
from hillfield.settings import (
    AnnouncementSettings,
)
from hillfield.settings.examples import make_example

SETTINGS = make_example()
WALL = 1_000_000
HERE = Address('127.0.0.1', 8081)
READY = Announcement('settlement', HERE, 4, 300, incarnation=7)
DRAINING = replace(READY, state=TargetState.DRAINING)


def make_registry(**announcements: Any) -> TargetRegistry:
    settings = replace(
        SETTINGS,
        announcements=AnnouncementSettings(**announcements),
    )
    return TargetRegistry(settings, ListJournal())


def read_states(registry: TargetRegistry, now: float) -> list[TargetState]:
    return [target.state for target in registry.targets(now)]


def test_fills_in_the_nodes_locality():
    registry = make_registry()
    target = registry.announce(0, WALL, replace(READY, host='h2')).ok
    assert target.locality == Locality('north', 'a', 'h2')
    assert registry.targets(0) == (target,)


def test_derives_an_incarnation_from_the_wall_clock():
    registry = make_registry()
    plain = replace(READY, incarnation=None)
    assert registry.announce(0, WALL, plain).ok.id.incarnation == WALL
    assert registry.announce(1, WALL + 1000, plain).ok.id.incarnation == WALL
    assert (
        registry.announce(9, WALL + 9000, plain).ok.id.incarnation
        == WALL + 9000
    )


def test_removes_a_silent_target():
    registry = make_registry()
    registry.announce(0, WALL, READY)
    assert registry.targets(3)
    assert registry.targets(3.1) == ()


def test_heartbeats_change_nothing():
    registry = make_registry()
    registry.announce(0, WALL, READY)
    before = registry.targets(0)
    version = registry.version
    for second in range(1, 20):
        registry.announce(second, WALL, replace(READY, load=second))
    assert registry.targets(19) is before
    assert registry.version == version
    assert registry.targets(19)[0].load is None
    assert registry.incarnations(19)[0].reported.load == 19


def test_drained_incarnation_never_becomes_ready():
    registry = make_registry()
    registry.announce(0, WALL, READY)
    registry.announce(1, WALL, DRAINING)
    assert registry.announce(2, WALL, READY).ok.state is TargetState.DRAINING
    assert read_states(registry, 30) == [TargetState.DRAINING]
    assert registry.targets(62) == ()
    assert registry.announce(63, WALL, READY).error.refusal is Refusal.STALE


def test_restart_replaces_a_draining_incarnation():
    registry = make_registry()
    registry.announce(0, WALL, DRAINING)
    registry.announce(1, WALL, replace(READY, incarnation=8))
    assert read_states(registry, 1) == [TargetState.READY]
    assert registry.announce(1, WALL, READY).error.refusal is Refusal.STALE
    assert registry.announce(9, WALL, READY).error.refusal is Refusal.STALE


def test_restart_after_the_clock_went_back():
    registry = make_registry()
    registry.announce(0, WALL, READY)
    earlier = replace(READY, incarnation=3)
    assert registry.announce(1, WALL, earlier).is_error()
    assert registry.announce(3.5, WALL, earlier).ok.id.incarnation == 3


def test_late_heartbeat_does_not_undo_a_withdrawal():
    for announcement in (READY, replace(READY, incarnation=None)):
        registry = make_registry()
        registry.announce(0, WALL, announcement)
        assert registry.withdraw(0, 'settlement', HERE).is_ok()
        assert registry.announce(0.5, WALL, announcement).is_error()
        assert registry.targets(0.5) == ()
    assert (
        registry.withdraw(1, 'settlement', HERE).error.refusal
        is Refusal.UNKNOWN
    )


def test_drained_incarnation_is_refused_after_its_successor_ended():
    registry = make_registry()
    registry.announce(0, WALL, DRAINING)
    registry.announce(1, WALL, replace(READY, incarnation=8))
    registry.withdraw(2, 'settlement', HERE)
    assert registry.announce(9, WALL, READY).error.refusal is Refusal.STALE


def test_late_withdrawal_of_an_earlier_incarnation_is_refused():
    registry = make_registry()
    registry.announce(0, WALL, READY)
    problem = registry.withdraw(1, 'settlement', HERE, 6).error
    assert problem.refusal is Refusal.STALE
    assert registry.targets(1)
    assert registry.withdraw(1, 'settlement', HERE, 7).is_ok()


def test_shedding_is_published_at_once_and_its_end_later():
    registry = make_registry()
    registry.announce(0, WALL, READY)
    for now in range(1, 5):
        state = TargetState.SHEDDING if now % 2 else TargetState.READY
        registry.announce(now, WALL, replace(READY, state=state))
        assert read_states(registry, now) == [TargetState.SHEDDING]
    registry.announce(6, WALL, READY)
    assert read_states(registry, 6) == [TargetState.READY]


def test_cold_target_becomes_ready_at_once():
    registry = make_registry()
    registry.announce(0, WALL, replace(READY, state=TargetState.COLD))
    registry.announce(0.1, WALL, READY)
    assert read_states(registry, 0.1) == [TargetState.READY]


def test_bounds_the_number_of_targets():
    registry = make_registry(maximum=1)
    registry.announce(0, WALL, READY)
    other = replace(READY, address=Address('127.0.0.1', 9))
    assert registry.announce(0, WALL, other).error.refusal is Refusal.FULL
    assert registry.announce(0, WALL, replace(READY, incarnation=8)).is_ok()


def test_records_events():
    journal = ListJournal()
    registry = TargetRegistry(SETTINGS, journal)
    registry.announce(0, WALL, READY)
    registry.announce(1, WALL, DRAINING)
    registry.targets(90)
    assert [occurrence.code for occurrence in journal.occurrences] == [
        EventCode.TARGET_ANNOUNCED,
        EventCode.TARGET_CHANGED,
        EventCode.TARGET_EXPIRED,
    ]
