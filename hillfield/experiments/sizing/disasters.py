"""Measure the bytes of a lost failure domain and of regions that merge."""

from itertools import product
from typing import Final

from msgspec import Struct

from hillfield.experiments.sizing.gossip import start_mesh
from hillfield.fleet.mesh import Mesh
from hillfield.fleet.synthetic_fleet import DOMAINS, REGIONS
from hillfield.model import Address

WATCHED: Final = 20
# Longer than lost nodes are remembered, so that all must be told anew.
APART: Final = 90
MERGING: Final = 90


class Disaster(Struct, frozen=True):
    """Hold bytes that each survivor received on top of quiet.

    `domain` within 20 s of the loss of a failure domain, `merge` within
    90 s of the end of a partition between two regions.
    """

    nodes: int
    domain: float
    merge: float


def measure_disaster(nodes: int) -> Disaster:
    """Measure a mesh of so many states."""
    mesh = start_mesh(nodes)
    quiet = _watch(mesh, WATCHED) / WATCHED
    parted = tuple(
        product(_choose(mesh, REGIONS, 0), _choose(mesh, REGIONS, 1))
    )
    mesh.cut.update(parted)
    mesh.cut.update((there, here) for here, there in parted)
    mesh.run(APART)
    mesh.cut.clear()
    merge = _watch(mesh, MERGING) - quiet * MERGING
    for address in _choose(mesh, DOMAINS, 1):
        mesh.remove(address)
    domain = _watch(mesh, WATCHED) - quiet * WATCHED
    return Disaster(nodes, domain, merge)


def _choose(mesh: Mesh, parts: int, part: int) -> tuple[Address, ...]:
    """Return the nodes of a region or failure domain, dealt out in turn."""
    return tuple(mesh.states)[part::parts]


def _watch(mesh: Mesh, seconds: int) -> float:
    before = mesh.delivered_bytes
    mesh.run(seconds)
    return (mesh.delivered_bytes - before) / len(mesh.states)
