"""The demo from start to report."""

from asyncio import create_task, gather
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import chain
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from hillfield.demo.changes import (
    Change,
    apply_change,
    lengthen_deadlines,
)
from hillfield.demo.fleet import LocalFleet
from hillfield.demo.layout import make_layout, read_services
from hillfield.demo.observer import Observer
from hillfield.demo.report import DemoReport
from hillfield.demo.scenes import (
    Scene,
    await_targets,
    leave,
    restart,
    turn_gray,
    turn_well,
    warm_up,
)
from hillfield.demo.traffic import Example, make_callers, run_callers
from hillfield.emulator import Call, Trial, judge
from hillfield.experiments.processes import Processes

HOSTS: Final = 3
FIRST: Final = "both users' configurations in force"
SECOND: Final = 'longer deadlines in force'
# Bounds the traffic when something hangs; the story ends it sooner.
LONGEST_TRAFFIC: Final = 55.0
GRAY_SERVICE: Final = 'terminal-gateway'
LEAVING_SERVICE: Final = 'settlement'


Act = Callable[[], Awaitable[Scene]]


class Story:
    """Play the scenes on a fleet under traffic and keep all facts."""

    def __init__(self, fleet: LocalFleet, example: Example) -> None:
        """Prepare to apply the example and to call as its customers."""
        self.scenes: list[Scene] = []
        self._planned: deque[Act] = deque()
        self._fleet = fleet
        self._example = example
        self._observer = Observer(fleet.layout, fleet.client)

    async def play(self) -> DemoReport:
        """Play everything and judge the promises."""
        fleet = self._fleet
        await fleet.start()
        self._plan(
            partial(
                apply_change, fleet, Change(FIRST, self._example.configuration)
            ),
            partial(await_targets, fleet),
        )
        await self._play()
        calls = await self._play_under_traffic()
        await fleet.stop()
        return self._report(calls)

    async def _play_under_traffic(self) -> tuple[Call, ...]:
        watching = create_task(self._observer.watch())
        callers = make_callers(
            self._fleet.layout,
            self._example.customers,
            LONGEST_TRAFFIC,
        )
        calling = create_task(run_callers(callers))
        self._plan_scenes()
        await self._play()
        for caller in callers:
            caller.end()
        watching.cancel()
        await gather(watching, return_exceptions=True)
        return await calling

    def _plan_scenes(self) -> None:
        fleet = self._fleet
        gray = fleet.find_targets(GRAY_SERVICE)[0]
        leaving = fleet.find_targets(LEAVING_SERVICE)[0]
        longer = lengthen_deadlines(self._example.configuration)
        self._plan(
            warm_up,
            partial(turn_gray, fleet, gray),
            partial(leave, leaving.target),
            partial(turn_well, fleet, gray),
            partial(apply_change, fleet, Change(SECOND, longer)),
            partial(restart, fleet, fleet.layout.hosts[-1]),
            warm_up,
        )

    def _plan(self, *scenes: Act) -> None:
        self._planned.extend(scenes)

    async def _play(self) -> None:
        while self._planned:
            scene = self._planned.popleft()
            self.scenes.append(await scene())

    def _report(self, calls: tuple[Call, ...]) -> DemoReport:
        scenes = tuple(self.scenes)
        trial = Trial(
            calls,
            tuple(placed.target.record() for placed in self._fleet.targets),
            tuple(self._observer.rotations),
            tuple(chain.from_iterable(each.shutdowns for each in scenes)),
            tuple(self._observer.in_force),
            tuple(chain.from_iterable(each.accepted for each in scenes)),
        )
        return DemoReport(scenes, calls, judge(trial))


async def play_demo(example: Example) -> DemoReport:
    """Play the demo in a folder of its own, and leave nothing behind."""
    layout = make_layout(HOSTS, read_services(), HOSTS)
    with TemporaryDirectory() as name:
        folder = Path(name)
        with Processes(folder) as processes:
            fleet = LocalFleet(layout, folder, processes)
            return await Story(fleet, example).play()
