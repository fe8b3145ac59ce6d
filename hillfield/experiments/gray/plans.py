"""What is done to targets of real fleets, and to which services."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from msgspec import Struct

from hillfield.detection.simulations import (
    KESTRELMOOR,
    LOST_PROPERTY,
    ServiceSize,
)
from hillfield.emulator import Behaviour

NODES: Final = 4
SIZES: Final = (KESTRELMOOR, LOST_PROPERTY)
FIVE_TIMES: Final = 5
TWICE: Final = 2
FEW: Final = 0.2
FLAP_SECONDS: Final = 2.0
REST: Final = 1.5


class Fault(StrEnum):
    """Name what ails one target."""

    SLOW_FIVEFOLD = 'slow5'
    STALL = 'stall'
    WRONG_ALWAYS = 'wrong100'
    WRONG_SOMETIMES = 'wrong20'
    SLOW_TWOFOLD = 'slow2'
    FLAP = 'flap'
    ONE_WAY = 'one-way'


class Innocence(StrEnum):
    """Name trouble that accuses no target."""

    SLOWDOWN = 'slowdown'
    BURSTS = 'bursts'
    COLD_STARTS = 'cold-starts'
    MISLEADING_HEALTH = 'misleading-health'
    CALM = 'calm'


# These have to be out of rotation within a second.
CERTAIN: Final = frozenset(
    (Fault.SLOW_FIVEFOLD, Fault.STALL, Fault.WRONG_ALWAYS),
)
BEHAVIOURS: Final[Mapping[Fault, Behaviour]] = MappingProxyType(
    {
        Fault.SLOW_FIVEFOLD: Behaviour(slow=FIVE_TIMES),
        Fault.STALL: Behaviour(stall=1),
        Fault.WRONG_ALWAYS: Behaviour(wrong=1),
        Fault.WRONG_SOMETIMES: Behaviour(wrong=FEW),
        Fault.SLOW_TWOFOLD: Behaviour(slow=TWICE),
        Fault.FLAP: Behaviour(wrong=1, flap=FLAP_SECONDS),
    },
)
SLOWDOWN: Final = Behaviour(slow=FIVE_TIMES)
MISLEADING: Final = Behaviour(healthy=False, load=1)


class Schedule(Struct, frozen=True):
    """Say how often and how long (seconds) each trouble is looked at."""

    onsets: int
    baseline_onsets: int
    window: float
    rest: float
    innocent: float


LONG: Final = Schedule(4, 1, window=4, rest=REST, innocent=8)
SHORT: Final = Schedule(1, 0, window=3, rest=1, innocent=3)


def find_behaviour(fault: Fault, node: str) -> Behaviour:
    """Return how a target with that fault behaves; probes find it well.

    `node` is the one that a bad path cuts off.
    """
    if fault is Fault.ONE_WAY:
        return Behaviour(mute=True, only_for=node)
    return BEHAVIOURS[fault]


def find_size(service: str) -> ServiceSize:
    """Return the size of a service by its name."""
    return next(size for size in SIZES if size.name == service)
