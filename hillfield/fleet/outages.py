"""Measure how a fleet of states handles large losses and small changes.

States are plain objects in one process and time is a number: messages, bytes
and simulated seconds are measured, in steps of 0.1 s in which each node
forwards what came in the step before.
"""

from itertools import product
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.fleet.mesh import TICK, Mesh
from hillfield.fleet.mesh_observation import (
    WAIT_LIMIT,
    WINDOW,
    count_received_bytes,
    find_busiest_window,
    have_all_members,
    wait_until,
)
from hillfield.fleet.state import FleetState
from hillfield.fleet.synthetic_fleet import (
    DOMAINS,
    FIRST_PORT,
    REGIONS,
    make_node_name,
)
from hillfield.fleet.traffic import start_mesh
from hillfield.model import Address, Target, TargetState

LOST_DOMAIN: Final = 3
# A second longer than lost nodes' targets are held.
HELD_TICKS: Final = 110
KEYS: Final = ('/east', '/west')
DRAINS: Final = 5


class DomainLoss(Struct, frozen=True):
    """Hold the cost of the loss of a failure domain for each survivor.

    `settled` is the number of seconds until all had removed the lost nodes,
    `bytes_in_window` the bytes that each received in the busiest 3 s,
    `quiet_in_window` those in 3 s without changes, `targets_kept` how many
    survivors still listed a lost host's targets 11 s after `settled`.
    """

    nodes: int
    lost: int
    settled: float
    bytes_in_window: float
    quiet_in_window: float
    targets_kept: int


class Merge(Struct, frozen=True):
    """Hold the cost of merging two regions after a partition.

    `members` and `entries` are the seconds after its end until each node had
    all of them, `received_bytes` the bytes that each received until then.
    """

    nodes: int
    apart: float
    members: float
    entries: float
    received_bytes: float


def measure_domain_loss(nodes: int) -> DomainLoss:
    """Remove one of eight failure domains at once, without goodbyes."""
    mesh = _start(nodes)
    quiet = count_received_bytes(mesh, WINDOW)
    addresses = tuple(mesh.states)
    lost = addresses[LOST_DOMAIN::DOMAINS]
    for address in lost:
        mesh.remove(address)
    remaining = len(mesh.states)
    began = mesh.now
    samples: list[int] = []
    while not have_all_members(mesh) and mesh.now - began < WAIT_LIMIT:
        samples.append(count_received_bytes(mesh, TICK))
    settled = mesh.now - began
    for _ in range(HELD_TICKS):
        samples.append(count_received_bytes(mesh, TICK))
    return DomainLoss(
        nodes=nodes,
        lost=len(lost),
        settled=settled,
        bytes_in_window=find_busiest_window(samples) / remaining,
        quiet_in_window=quiet / nodes,
        targets_kept=_count_with_targets(mesh, lost),
    )


def measure_drain(nodes: int) -> float:
    """Return the seconds until all nodes know a drained target, at most."""
    mesh = _start(nodes)
    stride = nodes // DRAINS
    addresses = tuple(mesh.states)
    return max(_drain(mesh, address) for address in addresses[::stride])


def measure_merge(nodes: int, apart: float) -> Merge:
    """Partition two regions, change each, heal, and wait for the merge."""
    mesh = _start(nodes)
    states = _partition_regions(mesh)
    mesh.run(apart)
    for state, key in zip(states, KEYS, strict=True):
        state.submit(Entry(key, 2, key.encode()))
    mesh.run(WINDOW)
    before = mesh.delivered_bytes
    mesh.cut.clear()
    members = wait_until(mesh, have_all_members)
    entries = members + wait_until(mesh, _have_entries)
    return Merge(
        nodes=nodes,
        apart=apart,
        members=members,
        entries=entries,
        received_bytes=(mesh.delivered_bytes - before) / nodes,
    )


def _start(nodes: int) -> Mesh:
    mesh = start_mesh(nodes)
    mesh.faults.stepwise = True
    return mesh


def _partition_regions(mesh: Mesh) -> tuple[FleetState, FleetState]:
    """Partition the regions; return a node of each."""
    addresses = tuple(mesh.states)
    east, west = addresses[::REGIONS], addresses[1::REGIONS]
    mesh.cut.update(product(east, west))
    mesh.cut.update(product(west, east))
    return mesh.states[east[0]], mesh.states[west[0]]


def _drain(mesh: Mesh, address: Address) -> float:
    state = mesh.states[address]
    own_targets = tuple(
        target
        for target in state.core.view.targets()
        if target.locality == state.core.settings.locality
    )
    drained = replace(own_targets[0], state=TargetState.DRAINING)
    state.publish_targets(mesh.now, (drained, *own_targets[1:]))
    return wait_until(mesh, lambda fleet: _have_target(fleet, drained))


def _have_target(mesh: Mesh, drained: Target) -> bool:
    return all(
        drained in state.core.view.targets_of(drained.id.service)
        for state in mesh.states.values()
    )


def _have_entries(mesh: Mesh) -> bool:
    return all(
        min(map(state.core.entry_index.revision_of, KEYS)) > 0
        for state in mesh.states.values()
    )


def _count_with_targets(mesh: Mesh, lost: tuple[Address, ...]) -> int:
    names = {make_node_name(address.port - FIRST_PORT) for address in lost}
    return sum(
        any(state.core.view.lists_node(name) for name in names)
        for state in mesh.states.values()
    )
