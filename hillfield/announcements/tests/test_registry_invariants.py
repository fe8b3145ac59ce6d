"""Invariants of the registry under arbitrary sequences of announcements."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from msgspec.structs import replace

from hillfield.announcements import Announcement, TargetRegistry
from hillfield.events import EventCode, ListJournal
from hillfield.model import Address, TargetId, TargetState
from hillfield.settings import (
    AnnouncementSettings,
)
from hillfield.settings.examples import make_example

LOOPBACK = Address('127.0.0.1', 0)
SETTINGS = replace(
    make_example(),
    announcements=AnnouncementSettings(maximum=3, drain_seconds=10),
)
EXPIRY = SETTINGS.announcements.expiry
CHANGE_INTERVAL = SETTINGS.announcements.change_interval
PORTS = st.integers(1, 4)
ENDPOINTS = st.builds(Address, st.just('127.0.0.1'), PORTS)
STATES = st.sampled_from(list(TargetState))
INCARNATIONS = st.none() | st.integers(1, 4)


class RegistryMachine(RuleBasedStateMachine):
    """Drive a registry and record what the invariants need."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.journal = ListJournal()
        self.registry = TargetRegistry(SETTINGS, self.journal)
        self.last_heard: dict[TargetId, float] = {}
        self.drained: set[TargetId] = set()
        self.ended: set[TargetId] = set()
        self.last = (self.registry.targets(0), self.registry.version)

    @rule(seconds=st.sampled_from([0.1, 1, 2, EXPIRY, 4, 11]))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        endpoint=ENDPOINTS,
        state=STATES,
        number=INCARNATIONS,
        slots=st.integers(1, 2),
    )
    def announce(self, endpoint, state, number, slots):
        announcement = Announcement(
            's', endpoint, slots, state=state, incarnation=number
        )
        listed = self.registry.announce(
            self.now, 10 + int(self.now * 1000), announcement
        )
        if listed.is_error():
            return
        target = listed.ok
        assert number in {None, target.id.incarnation}
        self.last_heard[target.id] = self.now
        if state is TargetState.DRAINING:
            self.drained.add(target.id)
        if state in {TargetState.DRAINING, TargetState.SHEDDING}:
            assert target.state in {state, TargetState.DRAINING}
        if number is not None:
            assert target.id not in self.ended

    @rule(endpoint=ENDPOINTS)
    def withdraw(self, endpoint):
        withdrawn = self.registry.withdraw(self.now, 's', endpoint)
        listed = [each.id.address for each in self.registry.targets(self.now)]
        assert endpoint not in listed
        if withdrawn.is_ok():
            self.ended.add(withdrawn.ok.id)

    @precondition(lambda machine: machine.last_heard)
    @rule(number=st.integers(0, 9))
    def restart(self, number):
        """A higher incarnation of a listed endpoint is always accepted."""
        known = sorted(self.last_heard)[number % len(self.last_heard)]
        later = max(each.incarnation for each in self.last_heard) + 1
        listed = [each.id.address for each in self.registry.targets(self.now)]
        announcement = Announcement('s', known.address, 1, incarnation=later)
        taken = self.registry.announce(self.now, 1, announcement)
        if known.address in listed:
            assert taken.is_ok()
        if taken.is_ok():
            assert taken.ok.state is TargetState.READY
            self.last_heard[taken.ok.id] = self.now

    @invariant()
    def lists_at_most_one_incarnation_per_endpoint(self):
        targets = self.registry.targets(self.now)
        endpoints = [each.id.address for each in targets]
        assert len(endpoints) == len(set(endpoints))
        assert len(endpoints) <= 3
        assert endpoints == sorted(endpoints)

    @invariant()
    def lists_silent_targets_only_while_they_drain(self):
        for target in self.registry.targets(self.now):
            silent = self.now - self.last_heard[target.id] > EXPIRY
            assert not silent or target.state is TargetState.DRAINING

    @invariant()
    def never_lists_a_drained_incarnation_as_ready(self):
        for target in self.registry.targets(self.now):
            if target.id in self.drained:
                assert target.state is TargetState.DRAINING

    @invariant()
    def increases_the_version_with_each_change(self):
        targets = self.registry.targets(self.now)
        before, version = self.last
        if targets != before:
            assert self.registry.version > version
        self.last = (targets, self.registry.version)


TestRegistry = RegistryMachine.TestCase
TestRegistry.settings = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
)


def test_flapping_target_causes_few_changes():
    registry = TargetRegistry(SETTINGS, ListJournal())
    shape = Announcement('s', LOOPBACK, 1, incarnation=1)
    for step in range(1000):
        state = TargetState.SHEDDING if step % 2 else TargetState.READY
        flapped = replace(shape, state=state, slots=1 + step % 3)
        registry.announce(step / 10, 0, flapped)
    assert registry.version <= 2 * 100 / CHANGE_INTERVAL + 2


def test_changes_are_recorded_once_each():
    journal = ListJournal()
    registry = TargetRegistry(SETTINGS, journal)
    for now in range(30):
        registry.announce(now, 0, Announcement('s', LOOPBACK, 1, incarnation=1))
    codes = [occurrence.code for occurrence in journal.occurrences]
    assert codes == [EventCode.TARGET_ANNOUNCED]
