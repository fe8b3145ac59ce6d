"""The boards, targets and counts of one trial."""

from collections import Counter
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.detection.baseline import BaselineBoard
from hillfield.detection.board import HealthBoard
from hillfield.detection.boards import Board
from hillfield.detection.rotation import Rotation, build_rotation
from hillfield.detection.trials import BoardKind, Trial
from hillfield.detection.trouble import Call, ModelTarget, Trouble
from hillfield.model import Address, Locality, Target, TargetId

CONNECTION_LIMIT: Final = 300
PORT: Final = 80
FIRST_ADDRESS: Final = IPv4Address('127.0.0.1')
SHARED_DISTURBANCES: Final = frozenset(
    (Trouble.SLOWDOWN, Trouble.SOME_ERRORS, Trouble.MIXED_ROUTES),
)
EMPTY_ROTATION: Final = build_rotation((), 0)


class PendingCall(Struct, frozen=True, order=True):
    """Hold a call that ends at a time."""

    at: float
    attempt: int
    node: int
    target: TargetId
    call: Call


@dataclass(slots=True)
class ModelNode:
    """Hold a board and what it has in flight."""

    number: int
    locality: Locality
    detector: Board
    in_flight: Counter[TargetId] = field(default_factory=Counter)
    last_rotation: Rotation = EMPTY_ROTATION
    sends_to_faulty: bool = True


@dataclass(slots=True)
class ModelFleet:
    """Hold the state of one trial."""

    simulation: Trial
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


def build_fleet(trial: Trial) -> ModelFleet:
    """Return the fleet of a trial at time 0."""
    random = Random(trial.seed)
    models = tuple(
        _build_model(trial, position, random)
        for position in range(trial.size.targets)
    )
    cut = frozenset[int]()
    if trial.trouble is Trouble.ONE_WAY:
        cut = frozenset(range(1, trial.size.nodes, trial.size.domains))
    fleet = ModelFleet(
        trial,
        random,
        tuple(_build_node(trial, host) for host in range(trial.size.nodes)),
        {model.target.id: model for model in models},
        models[0].target.id,
        cut,
    )
    announce(fleet, 0)
    return fleet


def _build_model(trial: Trial, position: int, random: Random) -> ModelTarget:
    troubled = position == 0 or trial.trouble in SHARED_DISTURBANCES
    return ModelTarget(
        build_target(trial, position, 1),
        trial.size.median,
        trial.trouble if troubled else Trouble.CALM,
        random,
    )


def _build_locality(trial: Trial, number: int, host: str) -> Locality:
    domain = number % trial.size.domains
    return Locality('region', f'domain-{domain}', host)


def build_target(trial: Trial, number: int, incarnation: int) -> Target:
    """Return a target; numbers go round the failure domains."""
    return Target(
        TargetId(
            trial.policy.service,
            Address(str(FIRST_ADDRESS + number), PORT),
            incarnation,
        ),
        _build_locality(trial, number, f'host-{number}'),
        trial.size.slots,
        CONNECTION_LIMIT,
    )


def _build_node(trial: Trial, number: int) -> ModelNode:
    locality = _build_locality(trial, number, f'node-{number}')
    if trial.board is BoardKind.BASELINE:
        return ModelNode(
            number,
            locality,
            BaselineBoard(trial.policy, locality),
        )
    return ModelNode(number, locality, HealthBoard(trial.policy, locality))


def announce(fleet: ModelFleet, now: float) -> None:
    """Tell all nodes of the targets."""
    targets = tuple(model.target for model in fleet.targets.values())
    for node in fleet.nodes:
        node.detector.adopt_targets(now, targets)
