"""What a scene did, for the oracle."""

from collections.abc import Awaitable, Callable

from msgspec import Struct

from hillfield.demo.layout import HostPlan
from hillfield.emulator import AcceptedFact, GracefulFact, TargetRecord
from hillfield.experiments.repair.ground import Ground


class Wish(Struct, frozen=True):
    """Say whether what a scene wanted beside the promises came true."""

    name: str
    held: bool
    detail: str = ''


class Outcome(Struct, frozen=True):
    """Hold what a scene did.

    Callers of `harmed` nodes may lose their requests; `records` are of
    targets that ran as processes of their own.
    """

    harmed: tuple[HostPlan, ...] = ()
    shutdowns: tuple[GracefulFact, ...] = ()
    accepted: tuple[AcceptedFact, ...] = ()
    records: tuple[TargetRecord, ...] = ()
    wishes: tuple[Wish, ...] = ()


Act = Callable[[Ground], Awaitable[Outcome]]


class Scene(Struct, frozen=True):
    """Name a scene and say what it does."""

    name: str
    act: Act
