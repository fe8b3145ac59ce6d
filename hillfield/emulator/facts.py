"""What the oracle judges: records of callers, targets and the operator."""

from enum import StrEnum

from msgspec import Struct

from hillfield.emulator.records import Call, TargetRecord


class Promise(StrEnum):
    """Name what must always hold, in the order of the brief."""

    FLOOR = 'floor'
    OWN_ANSWER = 'own-answer'
    NOT_RUN = 'not-run'
    AT_MOST_ONCE = 'at-most-once'
    LEAVING = 'leaving'
    GRACEFUL = 'graceful'
    CONFIGURATION = 'configuration'


class RotationFact(Struct, frozen=True):
    """Hold what one node had in rotation; slots are announced ones."""

    node: str
    service: str
    at: float
    rotation_slots: float
    announced_slots: float
    floor: float


class GracefulFact(Struct, frozen=True):
    """Hold a graceful shutdown of a node or a target.

    `peer` is the node's address as callers know it, empty for all calls.
    """

    peer: str
    started: float
    ended: float


class InForceFact(Struct, frozen=True):
    """Hold which revision of a key a node had in force at a moment."""

    node: str
    key: str
    at: float
    revision: int


class AcceptedFact(Struct, frozen=True):
    """Hold that a change was accepted and which nodes lived then."""

    key: str
    revision: int
    at: float
    nodes: tuple[str, ...]


class Trial(Struct, frozen=True):
    """Hold all facts of one trial."""

    calls: tuple[Call, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    rotations: tuple[RotationFact, ...] = ()
    shutdowns: tuple[GracefulFact, ...] = ()
    in_force: tuple[InForceFact, ...] = ()
    accepted: tuple[AcceptedFact, ...] = ()


class Verdict(Struct, frozen=True):
    """Say whether a promise held, from how many facts, and why not."""

    promise: Promise
    held: bool
    facts: int
    detail: str
