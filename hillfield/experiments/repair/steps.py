"""Steps that several scenes take."""

import time
from asyncio import sleep
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

from hillfield.demo.layout import HostPlan
from hillfield.demo.observer import WHOLE
from hillfield.emulator import AcceptedFact
from hillfield.experiments.repair.ground import Ground
from hillfield.experiments.repair.outcomes import Wish
from hillfield.experiments.repair.wholeness import Wholeness

REJOIN: Final = 30.0

Done = TypeVar('Done')
Act = Callable[[], Awaitable[Done]]


async def in_turn(acts: Iterable[Act[Done]]) -> tuple[Done, ...]:
    """Do one after another and return what each gave."""
    waiting = deque(acts)
    done: list[Done] = []
    while waiting:
        act = waiting.popleft()
        done.append(await act())
    return tuple(done)


def expect(revision: int, hosts: tuple[HostPlan, ...]) -> AcceptedFact:
    """Expect a revision in force soon at these nodes."""
    names = tuple(host.name for host in hosts)
    return AcceptedFact(WHOLE, revision, time.monotonic(), names)


async def change_for(
    ground: Ground,
    hosts: tuple[HostPlan, ...],
) -> AcceptedFact:
    """Accept a change that is to be in force soon at these nodes."""
    return expect(await ground.lengthen(), hosts)


async def find_whole(ground: Ground, moment: str) -> Wish:
    """Wish the fleet whole, and say how long that took."""
    wholeness = Wholeness(ground)
    seconds = await wholeness.wait(REJOIN)
    if seconds is None:
        return Wish(f'whole {moment}', held=False, detail=wholeness.missing)
    return Wish(f'whole {moment}', held=True, detail=f'{seconds:.1f} s')


def without(
    hosts: tuple[HostPlan, ...],
    gone: tuple[HostPlan, ...],
) -> tuple[HostPlan, ...]:
    """Return the hosts that are not gone."""
    return tuple(host for host in hosts if host not in gone)


async def freeze_for(ground: Ground, host: HostPlan, seconds: float) -> None:
    """Freeze a node, and wake it after a while."""
    ground.processes.freeze(host.name)
    await sleep(seconds)
    ground.processes.wake(host.name)
