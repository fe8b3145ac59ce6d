"""Which nodes read the store and when, and what confirms a node's entries."""

from math import isinf
from random import Random

import pytest

from hillfield.configuration.entries import Entry
from hillfield.fleet.effects import StoreRead
from hillfield.fleet.heartbeats import compute_entries_age
from hillfield.fleet.mesh import Mesh
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.store_reads import (
    LONE_WATCHER_AGE,
    MAX_AGE,
    READ_STAGGER,
    WATCHER_READ_AGE,
    compute_watcher_age_limit,
    defers_read,
    is_read_due,
)
from hillfield.model import Address, Locality

NODES = 12
KEY = 'routes'
# Seconds within which a change must be in force.
REQUIRED = 2
# Seconds of two steps of the mesh.
AT_ONCE = 0.2


def settings_of(number):
    address = Address('127.0.0.1', 9300 + number)
    domain = 'abc'[number % 3]
    return FleetSettings(
        cluster='north',
        key=b'key',
        name=f'node-{number}',
        incarnation=1,
        locality=Locality('r', domain, f'host-{number}'),
        link=address,
        control=address,
        caller=address,
        seeds=(Address('127.0.0.1', 9300),),
        heartbeat=0.5,
        suspect_after=1.5,
    )


@pytest.fixture
def mesh():
    mesh = Mesh(Random(4))
    for number in range(NODES):
        mesh.add(settings_of(number))
    watcher = find_state(mesh, 0)
    watcher.set_relay_slot('a/0')
    watcher.submit(Entry(KEY, 7, b'routes'))
    watcher.mark_loaded()
    mesh.run(8)
    return mesh


def find_state(mesh, number):
    return mesh.states[settings_of(number).link]


def read_store(mesh, number):
    """Let a node read the store now, and deliver what it sends."""
    state = find_state(mesh, number)
    effects = state.handle_event(mesh.now, StoreRead(mesh.now))
    mesh.send_effects(settings_of(number).link, effects)
    mesh.run(0.1)


def ages_of(mesh):
    return [
        compute_entries_age(state.core, mesh.now)
        for state in mesh.states.values()
    ]


def test_one_store_read_confirms_the_entries_of_all_nodes_at_once(mesh):
    assert all(map(isinf, ages_of(mesh)))
    read_store(mesh, 0)
    assert max(ages_of(mesh)) < AT_ONCE


def test_heartbeats_without_a_newer_store_read_confirm_nothing(mesh):
    read_store(mesh, 0)
    mesh.run(5)
    assert min(ages_of(mesh)) > 4
    core = find_state(mesh, 5).core
    assert core.reachable_links()
    due = [is_read_due(state.core, mesh.now) for state in list_states(mesh)]
    assert any(due)


def list_states(mesh):
    return tuple(mesh.states.values())


def test_a_store_read_confirms_nothing_at_a_node_without_its_entries(mesh):
    read_store(mesh, 0)
    behind = find_state(mesh, 5)
    others = [state for state in list_states(mesh) if state is not behind]
    for state in others:
        state.submit(Entry(KEY, 8, b'changed'))
        mesh.cut.add((state.core.settings.link, behind.core.settings.link))
    before = behind.core.own.confirmed
    read_store(mesh, 0)
    assert behind.core.own.confirmed == before
    mesh.cut.clear()
    mesh.run(2)
    assert behind.core.entry_index.revision_of(KEY) == 8
    read_store(mesh, 0)
    assert compute_entries_age(behind.core, mesh.now) < AT_ONCE


def test_watchers_read_one_after_another_and_none_too_late(mesh):
    slots = ('a/0', 'b/0', 'c/0', 'a/1', 'b/1', 'c/1')
    for number, slot in enumerate(slots):
        find_state(mesh, number).set_relay_slot(slot)
    mesh.run(3)
    read_store(mesh, 0)
    cores = [find_state(mesh, position).core for position in range(len(slots))]
    waits = [compute_watcher_age_limit(core, mesh.now) for core in cores]
    steps = [
        WATCHER_READ_AGE + READ_STAGGER * position
        for position in range(len(slots))
    ]
    assert waits == [min(step, MAX_AGE) for step in steps]
    assert max(waits) < REQUIRED


def test_a_lone_watcher_reads_often_enough_by_itself(mesh):
    core = find_state(mesh, 0).core
    read_store(mesh, 0)
    assert compute_watcher_age_limit(core, mesh.now) == LONE_WATCHER_AGE


def test_a_node_defers_its_read_once_reads_of_neighbours_failed(mesh):
    read_store(mesh, 0)
    mesh.run(2)
    core = max(
        (state.core for state in list_states(mesh)),
        key=lambda core: len(core.reachable_links()),
    )
    links = core.reachable_links()
    assert len(links) > 2
    for link in links:
        link.read_failed = True
    assert defers_read(core, mesh.now)
    links[0].read_failed = False
    for link in links[3:]:
        link.read_failed = False
        link.confirmed = mesh.now
    links[0].confirmed = mesh.now
    assert not defers_read(core, mesh.now)


def test_a_node_does_not_defer_to_a_silent_neighbour(mesh):
    read_store(mesh, 0)
    mesh.run(2)
    core = find_state(mesh, 5).core
    for link in core.reachable_links():
        link.last_received = mesh.now - 1
    assert not defers_read(core, mesh.now)
