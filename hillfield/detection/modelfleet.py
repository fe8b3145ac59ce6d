"""The nodes, targets and counts of one simulation."""

from collections import Counter
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.detection.baseline import BaselineDetector
from hillfield.detection.detector import Detector
from hillfield.detection.disturbances import Call, Disturbance, ModelTarget
from hillfield.detection.healthdetector import HealthDetector
from hillfield.detection.rotation import Rotation, build_rotation
from hillfield.detection.simulations import DetectorKind, Simulation
from hillfield.model import Address, Locality, Target, TargetId

CONNECTION_LIMIT: Final = 300
PORT: Final = 80
FIRST_ADDRESS: Final = IPv4Address('127.0.0.1')
SHARED_DISTURBANCES: Final = frozenset(
    (Disturbance.SLOWDOWN, Disturbance.SOME_ERRORS, Disturbance.MIXED_ROUTES),
)
EMPTY_ROTATION: Final = build_rotation((), 0)


class PendingCall(Struct, frozen=True, order=True):
    """Hold a call and the time at which its answer or its end is due."""

    at: float
    attempt: int
    node: int
    target: TargetId
    call: Call


@dataclass(slots=True)
class ModelNode:
    """Hold a node's detector and its requests in flight."""

    number: int
    locality: Locality
    detector: Detector
    in_flight: Counter[TargetId] = field(default_factory=Counter)
    last_rotation: Rotation = EMPTY_ROTATION
    sends_to_faulty: bool = True


@dataclass(slots=True)
class ModelFleet:
    """Hold the state of one simulation; times are in seconds.

    `faulty` is the target that the disturbance affects, `cut_nodes` are the
    nodes that cannot connect to it; `detected` is the time of its last
    request before all affected nodes had it out of rotation (None: not yet).
    """

    simulation: Simulation
    random: Random
    nodes: tuple[ModelNode, ...]
    targets: dict[TargetId, ModelTarget]
    faulty: TargetId
    cut_nodes: frozenset[int]
    pending: list[PendingCall] = field(default_factory=list)
    next_arrival: float = 0
    sent: int = 0
    sent_after_detection: int = 0
    last_sent: float = 0
    sent_at_detection: int = 0
    detected: float | None = None
    false_ejections: int = 0
    avoided: int = 0
    least_kept: float = 1


def build_fleet(simulation: Simulation) -> ModelFleet:
    """Return the fleet of a simulation at time 0."""
    random = Random(simulation.seed)
    models = tuple(
        _build_model(simulation, position, random)
        for position in range(simulation.size.targets)
    )
    cut_nodes = frozenset[int]()
    if simulation.disturbance is Disturbance.ONE_WAY:
        cut_nodes = frozenset(
            range(1, simulation.size.nodes, simulation.size.domains)
        )
    fleet = ModelFleet(
        simulation,
        random,
        tuple(
            _build_node(simulation, host)
            for host in range(simulation.size.nodes)
        ),
        {model.target.id: model for model in models},
        models[0].target.id,
        cut_nodes,
    )
    announce(fleet, 0)
    return fleet


def _build_model(
    simulation: Simulation, position: int, random: Random
) -> ModelTarget:
    is_affected = position == 0 or simulation.disturbance in SHARED_DISTURBANCES
    return ModelTarget(
        build_target(simulation, position, 1),
        simulation.size.median,
        simulation.disturbance if is_affected else Disturbance.CALM,
        random,
    )


def _build_locality(simulation: Simulation, number: int, host: str) -> Locality:
    domain = number % simulation.size.domains
    return Locality('region', f'domain-{domain}', host)


def build_target(
    simulation: Simulation, number: int, incarnation: int
) -> Target:
    """Return a target; failure domains are assigned in turn by number."""
    return Target(
        TargetId(
            simulation.policy.service,
            Address(str(FIRST_ADDRESS + number), PORT),
            incarnation,
        ),
        _build_locality(simulation, number, f'host-{number}'),
        simulation.size.slots,
        CONNECTION_LIMIT,
    )


def _build_node(simulation: Simulation, number: int) -> ModelNode:
    locality = _build_locality(simulation, number, f'node-{number}')
    if simulation.detector is DetectorKind.BASELINE:
        return ModelNode(
            number,
            locality,
            BaselineDetector(simulation.policy, locality),
        )
    return ModelNode(
        number, locality, HealthDetector(simulation.policy, locality)
    )


def announce(fleet: ModelFleet, now: float) -> None:
    """Announce the present targets to all nodes."""
    targets = tuple(model.target for model in fleet.targets.values())
    for node in fleet.nodes:
        node.detector.adopt_targets(now, targets)
