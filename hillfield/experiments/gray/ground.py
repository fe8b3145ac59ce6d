"""Real nodes and emulated targets of both users' sizes, under traffic."""

import time
from asyncio import gather, sleep
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import chain
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from msgspec.structs import replace

from hillfield.configuration.public import (
    ClientAccount,
    Configuration,
    Idempotency,
    RouteRule,
    ServiceUse,
    Template,
    hash_secret,
)
from hillfield.demo.changes import Change, apply_change
from hillfield.demo.fleet import LocalFleet
from hillfield.demo.layout import HostPlan, make_layout
from hillfield.detection.simulations import ServiceSize
from hillfield.emulator import EmulatedTarget, ServiceTime, TargetSettings
from hillfield.experiments.gray.plans import NODES, SIZES
from hillfield.experiments.gray.programs import (
    LOAD_COMMAND,
    BaselineProcesses,
    NodeProcesses,
)
from hillfield.experiments.processes import Processes, Program
from hillfield.model import Address

ACCOUNT: Final = 'trial'
SECRET: Final = 'for-trials-only'  # noqa: S105  # of a local trial
DEADLINE: Final = 2.0
CONNECTIONS: Final = 300
HOST_CLOCK: Final = time.time() - time.monotonic()
SETTLING: Final = 12.0
COLD: Final = ServiceTime(cold=5, warm_up=3)
LOOKUPS: Final = 0.7
ORDERS: Final = 0.3


class Ground:
    """Hold a fleet, its targets and the callers' processes."""

    def __init__(
        self,
        fleet: LocalFleet,
        folder: Path,
        processes: Processes,
    ) -> None:
        """Prepare; `start` starts everything."""
        self.fleet = fleet
        hosts = fleet.layout.hosts
        self.targets: dict[str, list[EmulatedTarget]] = {
            size.name: [
                EmulatedTarget(_make_settings(size, hosts, number))
                for number in range(size.targets)
            ]
            for size in SIZES
        }
        self._folder = folder
        self._processes = processes
        self._callers = 0

    @property
    def hosts(self) -> tuple[HostPlan, ...]:
        """Return where the nodes run."""
        return self.fleet.layout.hosts

    def list_targets(self) -> tuple[EmulatedTarget, ...]:
        """Return the present targets of both services."""
        return tuple(chain.from_iterable(self.targets.values()))

    def find_node(self, target: EmulatedTarget) -> str:
        """Return the name of the node at the target's host."""
        for host in self.hosts:
            if host.control == target.settings.control:
                return host.name
        return ''

    async def start(self) -> None:
        """Start all, send traffic and wait until targets are warm."""
        await self.fleet.start()
        await gather(*(target.start() for target in self.list_targets()))
        change = Change('trial', make_configuration())
        applied = await apply_change(self.fleet, change)
        if applied.seconds is None:
            raise TimeoutError(f'not in force: {applied.detail}')
        for size in SIZES:
            self.call(size, size.rate)
        await sleep(SETTLING)

    def call(
        self, size: ServiceSize, rate: float, seconds: float = 600
    ) -> None:
        """Send requests to all nodes from a process of its own."""
        self._callers += 1
        name = f'caller-{self._callers}'
        path = self._folder / f'{name}.toml'
        text = render_load(self.hosts, size, rate, seconds)
        path.write_text(f'seed = {self._callers}\n{text}', 'utf-8')
        program = Program(name, (LOAD_COMMAND, str(path)))
        self._processes.start(program)

    async def renew(
        self,
        service: str,
        number: int,
        *,
        cold: bool = False,
    ) -> None:
        """Restart a target at its address as a new incarnation."""
        old = self.targets[service][number]
        await old.stop()
        timing = old.settings.timing
        if cold:
            timing = replace(COLD, median=timing.median)
        settings = replace(old.settings, listen=old.address, timing=timing)
        fresh = EmulatedTarget(settings)
        self.targets[service][number] = fresh
        await fresh.start()

    async def stop(self) -> None:
        """Stop what runs in this process."""
        await gather(*(target.stop() for target in self.list_targets()))
        await self.fleet.stop()


@asynccontextmanager
async def open_ground(*, baseline: bool) -> AsyncIterator[Ground]:
    """Run a fleet and end all of it."""
    kind = BaselineProcesses if baseline else NodeProcesses
    with TemporaryDirectory() as name:
        folder = Path(name)
        with kind(folder) as processes:
            layout = make_layout(NODES, (), NODES)
            fleet = LocalFleet(layout, folder, processes)
            ground = Ground(fleet, folder, processes)
            async with _Stopping(ground):
                await ground.start()
                yield ground


class _Stopping:
    def __init__(self, ground: Ground) -> None:
        self._ground = ground

    async def __aenter__(self) -> None:
        """Do nothing."""

    async def __aexit__(self, *_cause: object) -> None:
        """Stop, also after any error."""
        await self._ground.stop()


def make_configuration() -> Configuration:
    """Return both services and an account that may use them."""
    templates = tuple(
        Template(
            size.name,
            (
                RouteRule('lookup', ('GET',), f'/{size.name}/lookups'),
                RouteRule(
                    'order',
                    ('POST',),
                    f'/{size.name}/orders',
                    Idempotency.NEVER,
                ),
            ),
            DEADLINE,
            probe_path='/health',
        )
        for size in SIZES
    )
    uses = tuple(ServiceUse(size.name) for size in SIZES)
    account = ClientAccount(ACCOUNT, (hash_secret(SECRET),), uses)
    return Configuration(templates, (account,))


def render_load(
    hosts: tuple[HostPlan, ...],
    size: ServiceSize,
    rate: float,
    seconds: float,
) -> str:
    """Return the load of a service in TOML."""
    nodes = ', '.join(f"'{host.callers}'" for host in hosts)
    return '\n'.join(
        (
            f'nodes = [{nodes}]',
            f'rate = {rate}',
            f'seconds = {seconds}',
            f"credentials = {{account = '{ACCOUNT}', secret = '{SECRET}'}}",
            *_render_kind(size.name, 'GET', 'lookups'),
            f'idempotent = true\nshare = {LOOKUPS}',
            *_render_kind(size.name, 'POST', 'orders'),
            f'idempotent = false\nshare = {ORDERS}\nbody_length = 64',
            '',
        ),
    )


def _render_kind(service: str, method: str, place: str) -> tuple[str, ...]:
    return (
        '[[kinds]]',
        f"service = '{service}'",
        f"method = '{method}'",
        f"path = '/{service}/{place}'",
    )


def _make_settings(
    size: ServiceSize,
    hosts: tuple[HostPlan, ...],
    number: int,
) -> TargetSettings:
    host = hosts[number % len(hosts)]
    return TargetSettings(
        size.name,
        Address(host.callers.ip, 0),
        host.control,
        size.slots,
        CONNECTIONS,
        seed=number,
        timing=ServiceTime(size.median),
    )
