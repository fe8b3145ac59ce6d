"""Measure the bytes that one change costs each node of a small fleet.

All messages are encoded and counted; the fleet consists of states in one
process.
"""

from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.fleet.mesh import Mesh
from hillfield.fleet.records import RecordCodec
from hillfield.fleet.state import FleetState
from hillfield.fleet.synthetic_fleet import (
    make_node_settings,
    make_targets_update,
)
from hillfield.model import Address

SETTLE_SECONDS: Final = 60.0
OBSERVED_SECONDS: Final = 20.0
SEED: Final = 5
ENTRY_SIZE: Final = 4096
TARGETS_A_NODE: Final = 13


class Traffic(Struct, frozen=True):
    """Hold the bytes received per node.

    `quiet` is the rate per second without changes, the others the bytes on
    top of that in 20 s: `restart` of a restarted node, `loss` of one that
    stays away, `entry` of a changed entry of 4 KB.
    """

    nodes: int
    quiet: float
    restart: float
    loss: float
    entry: float


def measure_traffic(nodes: int) -> Traffic:
    """Measure a fleet of this number of states."""
    mesh = start_mesh(nodes)
    quiet = _watch(mesh)
    addresses = tuple(mesh.states)
    first, last = addresses[0], addresses[-1]
    changed = Entry('/k', 2, bytes(ENTRY_SIZE))
    mesh.states[first].submit(changed)
    entry = _watch(mesh) - quiet
    _announce(mesh, last, mesh.restart(last))
    restart = _watch(mesh) - quiet
    mesh.remove(addresses[-2])
    loss = _watch(mesh) - quiet
    return Traffic(
        nodes=nodes,
        quiet=quiet / nodes / OBSERVED_SECONDS,
        restart=restart / nodes,
        loss=loss / nodes,
        entry=entry / nodes,
    )


def start_mesh(nodes: int) -> Mesh:
    """Return a settled fleet with targets and one configuration entry."""
    mesh = Mesh(Random(SEED))
    seeds = tuple(make_node_settings(number).link for number in range(3))
    for number in range(nodes):
        settings = replace(make_node_settings(number), seeds=seeds)
        _announce(mesh, settings.link, mesh.add(settings))
    first = mesh.states[seeds[0]]
    first.submit(Entry('/k', 1, bytes(ENTRY_SIZE)))
    first.mark_loaded()
    mesh.run(SETTLE_SECONDS)
    return mesh


def _announce(mesh: Mesh, address: Address, state: FleetState) -> None:
    codec = RecordCodec()
    number = address.port - make_node_settings(0).link.port
    update = make_targets_update(codec, number, TARGETS_A_NODE)
    home = state.core.settings.locality
    state.publish_targets(
        mesh.now,
        codec.decode_targets(home, update.payload),
    )


def _watch(mesh: Mesh) -> int:
    before = mesh.delivered_bytes
    mesh.run(OBSERVED_SECONDS)
    return mesh.delivered_bytes - before
