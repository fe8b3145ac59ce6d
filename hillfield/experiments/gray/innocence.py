"""Trouble that accuses no target, one kind after the other."""

import time
from asyncio import gather, sleep
from functools import partial
from itertools import chain, product
from typing import Final

from msgspec import Struct

from hillfield.emulator import Behaviour
from hillfield.experiments.gray.events import Removal, read_removals
from hillfield.experiments.gray.ground import HOST_CLOCK, Ground
from hillfield.experiments.gray.plans import (
    MISLEADING,
    SIZES,
    SLOWDOWN,
    Innocence,
    Schedule,
)
from hillfield.experiments.gray.turns import take_turns

BURST_SECONDS: Final = 1.0
BURST_FACTOR: Final = 2
LAST_TARGETS: Final = (-1, -2, -3)
PAUSE: Final = 3.0


class Calm(Struct, frozen=True):
    """Hold what was taken out while no target was at fault."""

    service: str
    kind: Innocence
    seconds: float
    removals: tuple[Removal, ...]


async def play_innocence(
    ground: Ground,
    schedule: Schedule,
) -> tuple[Calm, ...]:
    """Let services suffer what accuses no target."""
    rounds = await take_turns(
        partial(_play_innocence, ground, schedule, kind) for kind in Innocence
    )
    return tuple(chain.from_iterable(rounds))


async def _play_innocence(
    ground: Ground,
    schedule: Schedule,
    kind: Innocence,
) -> tuple[Calm, ...]:
    since = time.monotonic()
    await _begin(ground, kind, schedule.innocent)
    ends = since + schedule.innocent
    await sleep(ends - time.monotonic())
    await _behave(ground, Behaviour())
    await sleep(schedule.rest)
    removals = await read_removals(ground.hosts, since + HOST_CLOCK)
    seconds = time.monotonic() - since
    return tuple(_see(size.name, kind, seconds, removals) for size in SIZES)


def _see(
    service: str,
    kind: Innocence,
    seconds: float,
    removals: tuple[Removal, ...],
) -> Calm:
    here = tuple(each for each in removals if each.service == service)
    return Calm(service, kind, seconds, here)


async def _begin(ground: Ground, kind: Innocence, seconds: float) -> None:
    match kind:
        case Innocence.SLOWDOWN:
            await _behave(ground, SLOWDOWN)
        case Innocence.MISLEADING_HEALTH:
            await _behave(ground, MISLEADING)
        case Innocence.COLD_STARTS:
            await _restart(ground)
        case Innocence.BURSTS:
            await _burst(ground, seconds)


async def _restart(ground: Ground) -> None:
    await gather(
        *(
            ground.renew(size.name, number, cold=True)
            for size, number in product(SIZES, LAST_TARGETS)
        ),
    )


async def _burst(ground: Ground, seconds: float) -> None:
    bursts = range(max(1, int(seconds / PAUSE)))
    await take_turns(partial(_add_burst, ground) for _ in bursts)


async def _add_burst(ground: Ground) -> None:
    for size in SIZES:
        ground.call(size, BURST_FACTOR * size.rate, BURST_SECONDS)
    await sleep(PAUSE)


async def _behave(ground: Ground, behaviour: Behaviour) -> None:
    await gather(
        *(target.behave(behaviour) for target in ground.list_targets()),
    )
