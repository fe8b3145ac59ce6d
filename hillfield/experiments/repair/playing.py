"""Play scenes on a fleet under traffic."""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable, Sequence
from functools import partial
from itertools import chain
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from msgspec.structs import replace

from hillfield.demo.fleet import LocalFleet
from hillfield.demo.traffic import Example
from hillfield.emulator import Call, TargetRecord, Trial
from hillfield.experiments.repair.callers import (
    InsistingCaller,
    make_callers,
)
from hillfield.experiments.repair.ground import (
    Ground,
    list_far,
    plan_layout,
)
from hillfield.experiments.repair.judging import Judged, judge_scene
from hillfield.experiments.repair.outcomes import Outcome, Scene
from hillfield.experiments.repair.signalled import Signalled
from hillfield.experiments.repair.steps import in_turn
from hillfield.experiments.repair.telling import Telling
from hillfield.experiments.repair.watching import Watch
from hillfield.experiments.repair.wholeness import Wholeness

WARM_UP: Final = 1.0

Calls = tuple[Call, ...]


async def play_scenes(
    scenes: Sequence[Scene],
    example: Example,
    *,
    switchable: bool = False,
) -> tuple[Judged, ...]:
    """Play scenes one after another on one fleet; leave nothing behind."""
    layout = plan_layout()
    far = list_far(layout) if switchable else {}
    with TemporaryDirectory() as name:
        folder = Path(name)
        with Signalled(folder, far) as processes:
            ground = Ground(
                LocalFleet(layout, folder, processes),
                processes,
                example,
            )
            return await _play_all(scenes, ground)


async def _play_all(
    scenes: Sequence[Scene],
    ground: Ground,
) -> tuple[Judged, ...]:
    try:  # noqa: WPS501 -- whatever happens, nothing may stay behind
        return await _start_and_play(scenes, ground)
    finally:
        ground.processes.wake_all()
        await ground.fleet.stop()


async def _start_and_play(
    scenes: Sequence[Scene],
    ground: Ground,
) -> tuple[Judged, ...]:
    await ground.start()
    await _expect_whole(ground)
    return await in_turn(partial(_play, scene, ground) for scene in scenes)


async def _expect_whole(ground: Ground) -> None:
    wholeness = Wholeness(ground)
    if await wholeness.wait() is None:
        message = f'the fleet did not start: {wholeness.missing}'
        raise TimeoutError(message)


async def _play(scene: Scene, ground: Ground) -> Judged:
    telling = Telling(ground)
    watch = Watch(ground.fleet.layout, ground.fleet.client)
    callers = make_callers(ground.fleet.layout, ground.example, scene.name)
    calling = gather(*(create_task(caller.run()) for caller in callers))
    await sleep(WARM_UP)
    outcome = await scene.act(ground)
    seconds = await Wholeness(ground).wait()
    calls = await _end_traffic(callers, calling)
    trial = await _gather_trial(ground, watch, outcome, calls)
    judged = judge_scene(scene.name, trial, outcome, seconds)
    return replace(judged, told=telling.show())


async def _end_traffic(
    callers: tuple[InsistingCaller, ...],
    calling: Awaitable[list[Calls]],
) -> tuple[Call, ...]:
    # Late reverts show only after the fleet is whole.
    await sleep(2 * WARM_UP)
    for caller in callers:
        caller.end()
    return tuple(chain.from_iterable(await calling))


async def _gather_trial(
    ground: Ground,
    watch: Watch,
    outcome: Outcome,
    calls: tuple[Call, ...],
) -> Trial:
    await watch.end()
    return Trial(
        calls,
        (*_list_records(ground), *outcome.records),
        watch.list_rotations(),
        outcome.shutdowns,
        watch.list_in_force(),
        outcome.accepted,
    )


def _list_records(ground: Ground) -> tuple[TargetRecord, ...]:
    placed = (*ground.fleet.targets, *ground.former)
    return tuple(each.target.record() for each in placed)
