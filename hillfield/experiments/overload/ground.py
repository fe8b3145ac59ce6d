"""The fleet that a load is sent to: real nodes, emulated targets."""

import subprocess  # noqa: S404  # fixed arguments, no shell
import sys
from asyncio import create_subprocess_exec, gather, sleep
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

import msgspec
from msgspec.structs import replace

from hillfield.demo.changes import Change, apply_change
from hillfield.demo.fleet import READY_SECONDS, LocalFleet
from hillfield.demo.layout import make_layout
from hillfield.demo.waiting import wait_until
from hillfield.emulator import Behaviour, EmulatedTarget
from hillfield.experiments.overload.plans import LoadPlan, LoadResult
from hillfield.experiments.overload.targets import (
    find_capacity,
    make_configuration,
    make_targets,
)
from hillfield.experiments.processes import Processes, Program

BASELINE: Final = 'hillfield.experiments.overload.baseline'
LOAD: Final = 'hillfield.experiments.overload.load'
NODES: Final = 3
SETTLING: Final = 2.0


class GroundPlan(msgspec.Struct, frozen=True):
    """Say how targets and nodes decide; `deadline` is in seconds."""

    sheds: bool = True
    baseline: bool = False
    deadline: float = 1


class BaselineProcesses(Processes):
    """Start nodes that decide as the baseline does."""

    def make_command(self, program: Program) -> tuple[str, ...]:
        """Return the command, another one for nodes."""
        if program.arguments[0] != 'node':
            return super().make_command(program)
        return (sys.executable, '-m', BASELINE, program.arguments[-1])


class Ground:
    """Hold the fleet of one plan."""

    def __init__(self, plan: GroundPlan, fleet: LocalFleet) -> None:
        """Prepare; `start` starts everything."""
        self.fleet = fleet
        self.targets: tuple[EmulatedTarget, ...] = tuple(
            target
            for host in fleet.layout.hosts
            for target in make_targets(host, sheds=plan.sheds)
        )
        self._plan = plan

    @property
    def deadline(self) -> float:
        """Return the deadline of all requests in seconds."""
        return self._plan.deadline

    @property
    def capacity(self) -> float:
        """Return the requests a second that the targets can answer."""
        return find_capacity(self.targets)

    async def start(self) -> None:
        """Start all and wait until the targets are in rotation."""
        await self.fleet.start()
        await gather(*(target.start() for target in self.targets))
        change = Change('trial', make_configuration(self._plan.deadline))
        applied = await apply_change(self.fleet, change)
        if applied.seconds is None:
            raise TimeoutError(f'not in force: {applied.detail}')
        if await wait_until(self._knows_all, READY_SECONDS) is None:
            raise TimeoutError('not all targets are known to all nodes')
        await sleep(SETTLING)

    async def send(self, plan: LoadPlan) -> LoadResult:
        """Send a load to all nodes from a process of its own."""
        hosts = self.fleet.layout.hosts
        whole = replace(
            plan,
            nodes=tuple(host.callers for host in hosts),
            controls=tuple(host.control for host in hosts),
        )
        process = await create_subprocess_exec(
            sys.executable,
            '-m',
            LOAD,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        output, _ = await process.communicate(msgspec.json.encode(whole))
        return msgspec.json.decode(output, type=LoadResult)

    async def behave(self, behaviour: Behaviour) -> None:
        """Let all targets behave so."""
        await gather(*(target.behave(behaviour) for target in self.targets))

    def count_runs(self) -> int:
        """Return how many requests all targets began to run."""
        return sum(len(target.worker.runs) for target in self.targets)

    async def stop(self) -> None:
        """Stop what runs in this process."""
        await gather(*(target.stop() for target in self.targets))
        await self.fleet.stop()

    async def _knows_all(self) -> bool:
        pages = await gather(
            *(
                self.fleet.client.read_targets(host.control)
                for host in self.fleet.layout.hosts
            ),
        )
        wanted = len(self.targets)
        return all(page and len(page.known) == wanted for page in pages)


class _Stopping:
    def __init__(self, ground: Ground) -> None:
        self._ground = ground

    async def __aenter__(self) -> None:
        """Do nothing."""

    async def __aexit__(self, *_cause: object) -> None:
        """Stop, also after any error."""
        await self._ground.stop()


def open_ground(plan: GroundPlan) -> AbstractAsyncContextManager[Ground]:
    """Return a context that runs a fleet and ends all of it."""
    return _run_ground(plan)


@asynccontextmanager
async def _run_ground(plan: GroundPlan) -> AsyncIterator[Ground]:
    kind = BaselineProcesses if plan.baseline else Processes
    with TemporaryDirectory() as name:
        folder = Path(name)
        with kind(folder) as processes:
            layout = make_layout(NODES, (), NODES)
            ground = Ground(plan, LocalFleet(layout, folder, processes))
            async with _Stopping(ground):
                await ground.start()
                yield ground
