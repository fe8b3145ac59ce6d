"""A small fleet: real nodes, real sockets, emulated targets and store."""

import time
from asyncio import create_task, gather

from expression import Result
from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.public import (
    Applied,
    Authorship,
    Configuration,
    EditFailure,
    Editor,
)
from hillfield.demo.control import ControlClient
from hillfield.demo.layout import (
    CLUSTER,
    HostPlan,
    ServicePlan,
    make_layout,
    render_settings,
)
from hillfield.demo.observer import Observer
from hillfield.demo.waiting import wait_until
from hillfield.emulator import (
    EmulatedTarget,
    GracefulFact,
    ServiceTime,
    TargetSettings,
)
from hillfield.emulator.store_server import StoreServer
from hillfield.emulator.store_values import Lookup, Span
from hillfield.events import ListJournal
from hillfield.fleet.slots import make_relay_prefix
from hillfield.model import Address
from hillfield.store import StoreSettings
from hillfield.store.gateway import GatewayStore
from hillfield.store.keys import find_prefix_end
from scenarios.hosting import Apart, InLoop

SERVICE = 'gateway'
SOON = 15.0
# A node waits for one expiry before it speaks for its host's targets.
QUICK = '[announcements]\nheartbeat = 0.3\nexpiry = 1'
# Far above what a busy machine adds: what is slow must be so for its target only.
MEDIAN = 0.02
CONNECTIONS = 300


class Shape(Struct, frozen=True):
    """Say how large a fleet is; `apart`: each node is a process."""

    nodes: int = 2
    per_host: int = 3
    slots: int = 4
    domains: int = 1
    apart: bool = False


class Fleet:
    """Start and end nodes, targets and the store stand-in."""

    def __init__(self, shape: Shape) -> None:
        """Choose addresses; nothing runs before `start`."""
        plan = ServicePlan(
            SERVICE,
            shape.per_host,
            shape.slots,
            CONNECTIONS,
            MEDIAN,
        )
        self.layout = make_layout(shape.nodes, (plan,), shape.domains)
        self.client = ControlClient()
        self.store = StoreServer(self.layout.store)
        self.hosting = Apart() if shape.apart else InLoop()
        self.targets: list[EmulatedTarget] = []
        self.former: list[EmulatedTarget] = []
        self.shutdowns: list[GracefulFact] = []
        self.observer = Observer(self.layout, self.client)
        self.editor = Editor(
            GatewayStore(
                StoreSettings((self.layout.store,), 'scenario'),
                ListJournal(),
            ),
            CLUSTER,
        )
        self._watching = None

    async def start(self, configuration: Configuration) -> None:
        """Start all parts and wait until every node takes work."""
        self.store.start()
        await self.change(configuration)
        await gather(*map(self.start_node, self.layout.hosts))
        plan = self.layout.services[0]
        for host in self.layout.hosts:
            for _ in range(plan.per_host):
                self.targets.append(self.make_target(host, plan))
        await gather(*(target.start() for target in self.targets))
        assert await wait_until(self.is_complete, SOON) is not None
        self._watching = create_task(self.observer.watch())

    def make_target(
        self,
        host: HostPlan,
        plan: ServicePlan,
    ) -> EmulatedTarget:
        """Return a target of a host that is not running yet."""
        return EmulatedTarget(
            TargetSettings(
                SERVICE,
                Address(host.callers.ip, 0),
                host.control,
                plan.slots,
                plan.connection_limit,
                heartbeat=0.2,
                seed=len(self.targets),
                timing=ServiceTime(plan.median),
            ),
        )

    async def start_node(self, host: HostPlan) -> None:
        """Start one node."""
        text = f'{render_settings(self.layout, host)}\n{QUICK}'
        await self.hosting.start(host, text)

    async def stop_node(self, host: HostPlan) -> None:
        """Stop one node gracefully."""
        started = time.monotonic()
        await self.hosting.stop(host.name)
        ended = time.monotonic()
        self.shutdowns.append(
            GracefulFact(str(host.callers), started, ended),
        )

    def running(self) -> tuple[HostPlan, ...]:
        """Return the hosts whose nodes run."""
        return tuple(
            host
            for host in self.layout.hosts
            if host.name in self.hosting.names
        )

    def find_holder(self) -> str:
        """Return the name of a node that holds a relay's slot."""
        held = self._read_slots()
        holders = (host for host in self.running() if str(host.links) in held)
        return next(holders).name

    def read_revision(self) -> int:
        """Return the store's newest revision."""
        return self.store.state.core.revision

    async def restart_target(self, number: int) -> None:
        """Start a target anew at the address of an earlier one."""
        earlier = self.targets[number - 1]
        await earlier.stop()
        settings = replace(earlier.settings, listen=earlier.address)
        later = EmulatedTarget(settings)
        self.former.append(earlier)
        self.targets[number - 1] = later
        await later.start()

    async def change(self, configuration: Configuration) -> int:
        """Apply a configuration and return its revision."""
        applied = await self.try_change(configuration)
        assert applied.is_ok(), applied
        return applied.ok.revision

    async def try_change(
        self,
        configuration: Configuration,
    ) -> Result[Applied, EditFailure]:
        """Apply a configuration and return what the operator is told."""
        return await self.editor.apply(configuration, Authorship('me'))

    async def is_complete(self) -> bool:
        """Tell whether every node is ready and knows each running target."""
        hosts = self.running()
        wanted = {
            str(target.address) for target in self.targets if target.is_running
        }
        pages = await gather(
            *(self.client.read_targets(host.control) for host in hosts),
        )
        ready = await gather(
            *(self.client.is_ready(host.control) for host in hosts),
        )
        known = [
            {listed.address for listed in page.known} if page else set()
            for page in pages
        ]
        return all(ready) and all(wanted <= listed for listed in known)

    async def stop(self) -> None:
        """Stop whatever runs."""
        if self._watching:
            self._watching.cancel()
            await gather(self._watching, return_exceptions=True)
        await gather(*(target.stop() for target in self.targets))
        running = tuple(self.hosting.names)
        await gather(*map(self.hosting.stop, running))
        self.hosting.close()
        await self.store.stop()
        self.client.close()

    def _read_slots(self) -> set[str]:
        prefix = make_relay_prefix(CLUSTER).encode()
        wanted = Lookup(Span(prefix, find_prefix_end(prefix)))
        reading = self.store.state.core.read(wanted).ok
        payloads = [record.payload for record in reading.records]
        return {payload.decode() for payload in payloads}
