"""Measure how a fleet of states takes great losses and small changes.

States are plain objects in one process and time is a number: what is
measured are messages, bytes and the fleet's own seconds, with steps of 0.1 s
in which each node passes on what came before.
"""

from itertools import product
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.fleet.loading import (
    DOMAINS,
    FIRST_PORT,
    REGIONS,
    name_of,
)
from hillfield.fleet.mesh import TICK, Mesh
from hillfield.fleet.state import FleetState
from hillfield.fleet.traffic import start_mesh
from hillfield.fleet.mesh_observation import (
    WAIT_LIMIT,
    WINDOW,
    have_all_members,
    count_received_bytes,
    find_busiest_window,
    wait_until,
)
from hillfield.model import Address, Target, TargetState

LOST_DOMAIN: Final = 3
# A second longer than lost nodes' targets are held.
HELD_TICKS: Final = 110
KEYS: Final = ('/east', '/west')
DRAINS: Final = 5


class DomainLoss(Struct, frozen=True):
    """Hold what the loss of a failure domain cost each survivor.

    `settled` counts the seconds until all had taken the lost nodes out,
    `bytes_in_window` what each received in the 3 s with the most,
    `quiet_in_window` the same in 3 s without changes, `targets_kept` how
    many survivors still used a lost host's targets 11 s after that.
    """

    nodes: int
    lost: int
    settled: float
    bytes_in_window: float
    quiet_in_window: float
    targets_kept: int


class Merge(Struct, frozen=True):
    """Hold what it took two regions to be one again.

    `members` and `entries` are the seconds after the path was healed until
    each node knew all, `received_bytes` what each received until then.
    """

    nodes: int
    apart: float
    members: float
    entries: float
    received_bytes: float


def measure_domain_loss(nodes: int) -> DomainLoss:
    """Take one of eight failure domains away at once, without a word."""
    mesh = _start(nodes)
    quiet = count_received_bytes(mesh, WINDOW)
    everyone = tuple(mesh.states)
    lost = everyone[LOST_DOMAIN::DOMAINS]
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
        targets_kept=_count_targets_of(mesh, lost),
    )


def measure_drain(nodes: int) -> float:
    """Return the longest seconds until all know a drained target."""
    mesh = _start(nodes)
    stride = nodes // DRAINS
    everyone = tuple(mesh.states)
    return max(_drain(mesh, address) for address in everyone[::stride])


def measure_merge(nodes: int, apart: float) -> Merge:
    """Keep two regions apart, change each, heal, and wait for one fleet."""
    mesh = _start(nodes)
    homes = _part_regions(mesh)
    mesh.run(apart)
    for home, key in zip(homes, KEYS, strict=True):
        home.submit(Entry(key, 2, key.encode()))
    mesh.run(WINDOW)
    before = mesh.carried_bytes
    mesh.cut.clear()
    members = wait_until(mesh, have_all_members)
    entries = members + wait_until(mesh, _all_entries)
    return Merge(
        nodes=nodes,
        apart=apart,
        members=members,
        entries=entries,
        received_bytes=(mesh.carried_bytes - before) / nodes,
    )


def _start(nodes: int) -> Mesh:
    mesh = start_mesh(nodes)
    mesh.faults.stepwise = True
    return mesh


def _part_regions(mesh: Mesh) -> tuple[FleetState, FleetState]:
    """Cut the regions off from each other; return a node of each."""
    everyone = tuple(mesh.states)
    east, west = everyone[::REGIONS], everyone[1::REGIONS]
    mesh.cut.update(product(east, west))
    mesh.cut.update(product(west, east))
    return mesh.states[east[0]], mesh.states[west[0]]


def _drain(mesh: Mesh, address: Address) -> float:
    state = mesh.states[address]
    found = tuple(
        target
        for target in state.core.view.targets()
        if target.locality == state.core.settings.locality
    )
    drained = replace(found[0], state=TargetState.DRAINING)
    state.publish_targets(mesh.now, (drained, *found[1:]))
    return wait_until(mesh, lambda fleet: _all_know(fleet, drained))


def _all_know(mesh: Mesh, drained: Target) -> bool:
    return all(
        drained in state.core.view.targets_of(drained.id.service)
        for state in mesh.states.values()
    )


def _all_entries(mesh: Mesh) -> bool:
    return all(
        min(map(state.core.ledger.revision_of, KEYS)) > 0
        for state in mesh.states.values()
    )


def _count_targets_of(mesh: Mesh, lost: tuple[Address, ...]) -> int:
    names = {name_of(address.port - FIRST_PORT) for address in lost}
    return sum(
        any(state.core.view.lists_node(name) for name in names)
        for state in mesh.states.values()
    )
