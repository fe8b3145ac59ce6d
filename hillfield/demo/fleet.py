"""A local fleet: nodes as processes, emulated targets, the store stand-in."""

from asyncio import gather
from functools import partial
from pathlib import Path
from typing import Final

from msgspec import Struct

from hillfield.demo.control import ControlClient
from hillfield.demo.layout import (
    HostPlan,
    Layout,
    ServicePlan,
    render_settings,
)
from hillfield.demo.waiting import wait_until
from hillfield.emulator import EmulatedTarget, ServiceTime, TargetSettings
from hillfield.emulator.store_server import StoreServer
from hillfield.experiments.processes import Processes, Program
from hillfield.model import Address

READY_SECONDS: Final = 20.0
END_SECONDS: Final = 40.0


class PlacedTarget(Struct, frozen=True):
    """Hold an emulated target and the host that it runs on."""

    host: HostPlan
    target: EmulatedTarget


class LocalFleet:
    """Start and end the parts of a layout."""

    def __init__(
        self,
        layout: Layout,
        folder: Path,
        processes: Processes,
    ) -> None:
        """Prepare; settings and logs go into `folder`."""
        self.layout = layout
        self.client = ControlClient()
        self.store = StoreServer(layout.store)
        self.targets: list[PlacedTarget] = []
        self.pids: dict[str, int] = {}
        self._folder = folder
        self._processes = processes

    async def start(self) -> None:
        """Start everything and return when all nodes answer."""
        self.store.start()
        for host in self.layout.hosts:
            self.start_node(host)
        await gather(*map(self._await_answer, self.layout.hosts))
        await gather(*map(self._start_targets, self.layout.hosts))

    def start_node(self, host: HostPlan) -> None:
        """Start the host's node as a process."""
        path = self._folder / f'{host.name}.toml'
        path.write_text(render_settings(self.layout, host), 'utf-8')
        arguments = ('node', '--settings', str(path))
        program = Program(host.name, arguments)
        self.pids[host.name] = self._processes.start(program)

    async def stop_node(self, host: HostPlan) -> float | None:
        """Ask the node to end; None when it did not in time."""
        self._processes.terminate(host.name)
        return await wait_until(partial(self._has_ended, host), END_SECONDS)

    async def await_ready(self, host: HostPlan) -> float | None:
        """Return the seconds until the node says that it takes work."""
        return await wait_until(
            partial(self.client.is_ready, host.control),
            READY_SECONDS,
        )

    def find_targets(self, service: str) -> tuple[PlacedTarget, ...]:
        """Return the emulated targets of a service."""
        return tuple(
            placed
            for placed in self.targets
            if placed.target.settings.service == service
        )

    async def stop(self) -> None:
        """Stop targets and store; the processes end with their context."""
        await gather(*(placed.target.stop() for placed in self.targets))
        await self.store.stop()
        self.client.close()

    async def _await_answer(self, host: HostPlan) -> None:
        answered = await wait_until(
            partial(self._answers, host.control),
            READY_SECONDS,
        )
        if answered is None:
            tail = self._processes.read_tail(host.name)
            message = f'{host.name} does not answer; its log ends: {tail}'
            raise TimeoutError(message)

    async def _answers(self, control: Address) -> bool:
        return await self.client.read_members(control) is not None

    async def _has_ended(self, host: HostPlan) -> bool:
        return self._processes.has_ended(host.name)

    async def _start_targets(self, host: HostPlan) -> None:
        for plan in self.layout.services:
            for _ in range(plan.per_host):
                seed = len(self.targets)
                target = EmulatedTarget(_make_target(plan, host, seed))
                self.targets.append(PlacedTarget(host, target))
        await gather(
            *(
                placed.target.start()
                for placed in self.targets
                if placed.host == host
            ),
        )


def _make_target(
    plan: ServicePlan,
    host: HostPlan,
    seed: int,
) -> TargetSettings:
    return TargetSettings(
        plan.service,
        Address(host.callers.ip, 0),
        host.control,
        plan.slots,
        plan.connection_limit,
        seed=seed,
        timing=ServiceTime(plan.median),
    )
