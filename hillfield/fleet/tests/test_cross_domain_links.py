"""Links between failure domains, over which bytes cost much."""

from random import Random

import pytest

from hillfield.configuration.entries import Entry
from hillfield.fleet.envelope import Codec
from hillfield.fleet.mesh import Mesh
from hillfield.fleet.messages import Entries, StateUpdates, Version, Want
from hillfield.fleet.replication.entry_dissemination import (
    CROSS_DOMAIN_PULL_DELAY,
)
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address, Locality, Target, TargetId

DOMAINS = ('a', 'b', 'c')
NODES = 4
HOLDERS = 2


class CountingMesh(Mesh):
    """Count what crosses failure domains, by kind of message."""

    def __init__(self):
        super().__init__(Random(3))
        self.crossed = []

    def count(self, kind):
        return sum(isinstance(message, kind) for message in self.crossed)

    def _deliver_message(self, in_flight):
        sender = self.states.get(in_flight.sender)
        receiver = self.states[in_flight.receiver]
        opened = Codec(receiver.core.settings).open(in_flight.sealed)
        if sender is None or domain_of(sender) != domain_of(receiver):
            self.crossed.append(opened.ok.message)
        super()._deliver_message(in_flight)


def domain_of(state):
    return state.core.settings.locality.failure_domain


def settings_of(domain, number):
    name = f'{domain}{number}'
    place = DOMAINS.index(domain) * NODES + number
    address = Address('127.0.0.1', 9100 + place)
    return FleetSettings(
        cluster='north',
        key=b'key',
        name=name,
        incarnation=1,
        locality=Locality('r', domain, name),
        link=address,
        control=address,
        caller=address,
        settle=0,
        sparse=True,
        dear_flush_after=0.6,
    )


def target_of(settings, incarnation=1):
    identity = TargetId('s', settings.link, incarnation)
    return Target(identity, settings.locality, 2, 8)


ALL = tuple(
    settings_of(domain, number) for domain in DOMAINS for number in range(NODES)
)


@pytest.fixture
def mesh():
    mesh = CountingMesh()
    for settings in ALL:
        mesh.add(settings)
    mesh.run(0.1)
    for settings in ALL:
        mesh.states[settings.link].publish_targets(
            mesh.now,
            (target_of(settings),),
        )
        introduce(mesh, settings)
    mesh.run(10)
    mesh.crossed.clear()
    return mesh


def introduce(mesh, settings):
    state = mesh.states[settings.link]
    domain = settings.locality.failure_domain
    state.dial(mesh.now, settings_of(domain, 0).link)
    number = int(settings.name[1:])
    if number < HOLDERS:
        state.set_relay_slot(f'{domain}/{number}')
        for remote in DOMAINS:
            if remote != domain:
                state.dial(mesh.now, settings_of(remote, number).link)


def revisions_of(mesh):
    entry_indexes = (state.core.entry_index for state in mesh.states.values())
    return {entry_index.revision_of('/k') for entry_index in entry_indexes}


def seen_by(mesh, settings):
    view = mesh.states[settings.link].core.view
    return {target.id for target in view.targets_of('s')}


def test_all_targets_are_known_in_all_domains(mesh):
    wanted = {target_of(settings).id for settings in ALL}
    assert all(seen_by(mesh, settings) == wanted for settings in ALL)


def test_each_slot_holder_sends_only_updates_of_its_domain_and_once(mesh):
    changed = ALL[3]
    mesh.states[changed.link].publish_targets(
        mesh.now,
        (target_of(changed, 2),),
    )
    mesh.run(2)
    sent = [
        update
        for message in mesh.crossed
        if isinstance(message, StateUpdates)
        for update in message.updates
    ]
    assert {update.name for update in sent} == {changed.name}
    assert len(sent) <= HOLDERS * 2 * (len(DOMAINS) - 1)
    assert target_of(changed, 2).id in seen_by(mesh, ALL[-1])


def test_updates_reach_a_domain_whose_direct_links_are_cut(mesh):
    for first in ALL[:NODES]:
        for last in ALL[-NODES:]:
            mesh.cut.add((first.link, last.link))
            mesh.cut.add((last.link, first.link))
    changed = ALL[3]
    mesh.states[changed.link].publish_targets(
        mesh.now,
        (target_of(changed, 2),),
    )
    mesh.run(9)
    assert target_of(changed, 2).id in seen_by(mesh, ALL[-1])


def test_entries_that_each_domain_reads_from_the_store_do_not_cross(mesh):
    for state in mesh.states.values():
        if state.core.own.record.relay_slot:
            state.submit(Entry('/k', 7, b'routes'))
    mesh.run(3)
    assert not mesh.count(Want)
    assert not mesh.count(Entries)
    assert revisions_of(mesh) == {7}


def test_an_entry_that_a_domain_cannot_read_itself_crosses_soon(mesh):
    first = mesh.states[ALL[0].link]
    first.submit(Entry('/k', 7, b'routes'))
    mesh.run(1)
    assert revisions_of(mesh) == {7}


def test_an_entry_offered_in_the_own_domain_is_pulled_at_once(mesh):
    entry_index = mesh.states[ALL[0].link].core.entry_index
    local = ALL[1].link
    remote = ALL[-1].link
    entry_index.record_offer(
        remote, Version('/k', 0, 7), mesh.now + CROSS_DOMAIN_PULL_DELAY
    )
    assert not entry_index.select_pulls(mesh.now, (local, remote))
    entry_index.record_offer(local, Version('/k', 0, 7))
    pulled = entry_index.select_pulls(mesh.now, (local, remote))
    assert [missing.peer for missing in pulled] == [local]
