"""Measure the bytes of evidence when many nodes see one gray target."""

from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.fleet.mesh import Mesh
from hillfield.fleet.records import RecordCodec
from hillfield.fleet.state import FleetState
from hillfield.fleet.synthetic_fleet import (
    FIRST_PORT,
    make_node_settings,
    make_targets_update,
)
from hillfield.fleet.traffic import TARGETS_A_NODE
from hillfield.model import Address, TargetId
from hillfield.node.sharing import EvidenceFilter
from hillfield.node.ticking import TICK_SECONDS, TICKS_PER_EVIDENCE

SETTLED: Final = 60
WATCHED: Final = 10
SEED: Final = 5
SEEDS: Final = 3
# How often a node says what it sees, in seconds.
SHARE: Final = TICK_SECONDS * TICKS_PER_EVIDENCE
GRAY: Final = TargetId('gray', Address('127.0.0.1', FIRST_PORT), 1)


class Gossip(Struct, frozen=True):
    """Hold bytes a second received per node.

    `quiet` without evidence, `seen` on top of that while every node sees
    one target fail and its counts change each second.
    """

    nodes: int
    quiet: float
    seen: float


def measure_gossip(nodes: int) -> Gossip:
    """Measure a mesh of so many states, each with a node's own gate."""
    mesh = start_mesh(nodes)
    before = mesh.delivered_bytes
    mesh.run(WATCHED)
    quiet = mesh.delivered_bytes - before
    gates = tuple(map(_make_gate, mesh.states.values()))
    before = mesh.delivered_bytes
    for turn in range(round(WATCHED / SHARE)):
        piece = _make_evidence(1 + int(turn * SHARE))
        _share(mesh, gates, piece)
        mesh.run(SHARE)
    seen = mesh.delivered_bytes - before - quiet
    return Gossip(nodes, quiet / nodes / WATCHED, seen / nodes / WATCHED)


def _share(
    mesh: Mesh,
    gates: tuple[EvidenceFilter, ...],
    piece: Evidence,
) -> None:
    for state, gate in zip(mesh.states.values(), gates, strict=True):
        others = state.core.evidence_view.evidence()
        state.publish_evidence(mesh.now, gate.select((piece,), others))


def _make_gate(state: FleetState) -> EvidenceFilter:
    settings = state.core.settings
    return EvidenceFilter(settings.name, settings.locality.failure_domain)


def start_mesh(nodes: int) -> Mesh:
    """Return a settled mesh of so many states."""
    mesh = Mesh(Random(SEED))
    seeds = tuple(make_node_settings(number).link for number in range(SEEDS))
    for number in range(nodes):
        settings = replace(make_node_settings(number), seeds=seeds)
        _announce(mesh, number, mesh.add(settings))
    mesh.run(SETTLED)
    return mesh


def _announce(mesh: Mesh, number: int, state: FleetState) -> None:
    codec = RecordCodec()
    home = state.core.settings.locality
    told = make_targets_update(codec, number, TARGETS_A_NODE)
    targets = codec.decode_targets(home, told.payload)
    state.publish_targets(mesh.now, targets)


def _make_evidence(failures: int) -> Evidence:
    return Evidence(
        target=GRAY,
        symptom=Symptom.BROKEN,
        requests=failures + failures,
        failures=failures,
        slowness=1,
    )
