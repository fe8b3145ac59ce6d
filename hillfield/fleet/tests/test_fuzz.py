import os
from dataclasses import replace
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hillfield.configuration.entries import Entry
from hillfield.fleet.mesh import TICK, Mesh
from hillfield.fleet.messages import Version
from hillfield.fleet.records import UpdateKind
from hillfield.fleet.replication.entry_index import EntryIndex
from hillfield.fleet.replication.summary import Summary
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state_table import StateTable
from hillfield.model import Address, Locality, Target, TargetId

LONG = os.environ.get('HILLFIELD_FUZZ') == 'long'
EXAMPLES = 600 if LONG else 20
SEEDED_EXAMPLES = 60
PORTS = range(9000, 9005)
NODES = tuple(Address('127.0.0.1', port) for port in PORTS)
PLACES = (
    Locality('r0', 'd0', 'h0'),
    Locality('r1', 'd1', 'h1'),
    Locality('r0', 'd2', 'h2'),
    Locality('r1', 'd0', 'h3'),
    Locality('r0', 'd1', 'h4'),
)
RELAYS = NODES[:2]
LIMIT = 4 * len(NODES)
node = st.sampled_from(NODES)
key_letter = st.sampled_from('ab')


def settings_of(address):
    number = NODES.index(address)
    return FleetSettings(
        cluster='fuzz',
        key=b'key',
        name=f'node-{number}',
        incarnation=1,
        locality=PLACES[number],
        link=address,
        control=address,
        caller=address,
        seeds=NODES[:3],
    )


class FleetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.mesh = Mesh(Random(1))
        self.accepted = {}
        self.revision = 0
        self.seen = {}
        for address in NODES:
            self.begin(address, self.mesh.add(settings_of(address)))
        self.mesh.run(5)

    def begin(self, address, state):
        self.seen[address] = {}
        self.publish(address, state)
        if address in RELAYS:
            self.read_store(address)

    def publish(self, address, state):
        identity = TargetId('s', address, state.core.own.incarnation)
        target = Target(identity, state.core.settings.locality, 2, 8)
        state.publish_targets(self.mesh.now, (target,))

    @rule(seconds=st.sampled_from((0.1, 0.5, 2, 12)))
    def run(self, seconds):
        self.watch(seconds)

    def watch(self, seconds):
        """Check each step: a reverted value is soon replaced by the next copy."""
        for _ in range(round(seconds / TICK)):
            self.mesh.run(TICK)
            self.no_stamp_decreases()

    @rule(sender=node, receiver=node)
    def cut_one_way(self, sender, receiver):
        self.mesh.cut.add((sender, receiver))

    @rule(alone=node)
    def isolate(self, alone):
        for other in NODES:
            self.mesh.cut |= {(alone, other), (other, alone)}

    @rule()
    def heal(self):
        self.mesh.cut.clear()

    @rule(address=node)
    def pause(self, address):
        self.mesh.paused.add(address)

    @rule(address=node)
    def resume(self, address):
        self.mesh.paused.discard(address)

    @rule(address=node)
    def restart(self, address):
        self.begin(address, self.mesh.restart(address))

    @rule(lost=st.sampled_from((0, 0.2, 0.6)), shuffled=st.booleans())
    def change_faults(self, lost, shuffled):
        faults = replace(self.mesh.faults, loss=lost, duplication=lost / 2)
        faults.delay = lost
        faults.shuffled = shuffled
        self.mesh.faults = faults

    @rule(address=node, key=key_letter)
    def accept(self, address, key):
        self.revision += 4
        entry = Entry(key, self.revision, f'{key}{self.revision}'.encode())
        self.accepted[key] = entry
        self.mesh.states[address].submit(entry)

    @rule(address=node, key=key_letter, age=st.integers(1, 3))
    def submit_late(self, address, key, age):
        """Submit as a relay with an expired lease or a rolled back store does."""
        accepted = self.accepted.get(key)
        if accepted is not None:
            revision = max(1, accepted.revision - age)
            late = Entry(key, revision, f'{key}{revision}'.encode())
            self.mesh.states[address].submit(late)

    @rule(address=st.sampled_from(RELAYS))
    def read_store(self, address):
        if address not in self.mesh.paused:
            for entry in self.accepted.values():
                self.mesh.states[address].submit(entry)
            self.mesh.states[address].mark_loaded()

    @invariant()
    def no_stamp_decreases(self):
        for address, state in self.mesh.states.items():
            seen = self.seen[address]
            for key, stamp in stamps_of(state).items():
                assert stamp >= seen.get(key, stamp), f'{key} reverted'
                seen[key] = stamp

    @invariant()
    def payloads_are_of_their_revision(self):
        for state in self.mesh.states.values():
            for key in self.accepted:
                entry = state.core.entry_index.entry(key)
                if entry is not None:
                    assert entry.payload == f'{key}{entry.revision}'.encode()

    @invariant()
    def state_is_bounded(self):
        for state in self.mesh.states.values():
            core = state.core
            assert len(core.state_table) <= LIMIT
            assert len(core.links) <= 2 * len(NODES)
            assert not self.mesh.storms, 'storm'
            assert len(core.addresses) <= core.settings.addresses_kept

    def teardown(self):
        self.mesh.cut.clear()
        self.mesh.paused.clear()
        self.change_faults(0.1, shuffled=True)
        for relay in RELAYS[:1]:
            self.read_store(relay)
        self.watch(45)
        self.state_is_bounded()
        self.no_stamp_decreases()
        for state in self.mesh.states.values():
            assert self.has_converged(state), 'not converged'
        gone = NODES[-1]
        self.mesh.remove(gone)
        self.change_faults(0, shuffled=False)
        self.mesh.run(16)
        self.state_is_bounded()
        for state in self.mesh.states.values():
            assert len(state.core.state_table.alive) == len(NODES) - 1
            known = known_targets(state)
            assert known == set(NODES[:-1])

    def has_converged(self, state):
        core = state.core
        entries = [core.entry_index.entry(key) for key in self.accepted]
        return (
            len(core.state_table.alive) == len(NODES)
            and core.own.ready
            and known_targets(state) == set(NODES)
            and entries == list(self.accepted.values())
        )


def stamps_of(state):
    stamps = {
        f'entry {key}': (0, state.core.entry_index.entry(key).revision)
        for key in 'abc'
        if state.core.entry_index.entry(key)
    }
    for name in state.core.state_table.records:
        held = state.core.state_table.get(UpdateKind.MEMBER, name)
        stamps[f'member {name}'] = (held.incarnation, held.version)
    return stamps


def run_machine(examples=EXAMPLES, steps=30):
    run_state_machine_as_test(
        FleetMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
            print_blob=False,
            report_multiple_bugs=False,
            phases=(Phase.generate,),
        ),
    )


def test_fleet_keeps_its_invariants():
    run_machine()


def adopt_any(entry_index, entry):
    entry_index._store.adopt(entry)
    entry_index.summary.put(Version(entry.key, 0, entry.revision))
    entry_index._missing.pop(entry.key, None)
    return True


def accept_other(table, key, incarnation, version):
    held = table.get_by_key(key)
    if held is None:
        return True
    return (incarnation, version) != (held.incarnation, held.version)


@pytest.mark.seeded
@pytest.mark.parametrize(
    ('owner', 'method', 'fault', 'reason'),
    [
        (EntryIndex, 'adopt', adopt_any, 'entry . reverted'),
        (StateTable, 'is_newer', accept_other, 'member .* reverted'),
        (Summary, 'sums', lambda _: (0,) * 64, 'not converged'),
    ],
    ids=['older revision', 'older record', 'no digests'],
)
def test_seeded_fault_is_found(monkeypatch, owner, method, fault, reason):
    monkeypatch.setattr(owner, method, fault)
    with pytest.raises(AssertionError, match=reason):
        run_machine(SEEDED_EXAMPLES)


def known_targets(state):
    return {target.id.address for target in state.core.view.targets()}
