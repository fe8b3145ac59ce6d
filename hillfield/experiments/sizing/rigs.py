"""A fleet of real processes to measure: nodes and the store stand-in."""

from asyncio import gather
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

import msgspec
from msgspec.structs import replace

from hillfield.configuration.editing import Editor
from hillfield.demo.control import ControlClient
from hillfield.demo.layout import (
    CLUSTER,
    HostPlan,
    Layout,
    find_free,
    make_ip,
    make_layout,
    render_settings,
)
from hillfield.demo.waiting import wait_until
from hillfield.emulator.client import CurlClient
from hillfield.emulator.store_control import Measurement
from hillfield.experiments.processes import Processes, Program
from hillfield.model import Locality
from hillfield.store.opening import open_store
from hillfield.store.ports import OpenStore
from hillfield.store.store_settings import StoreSettings

DOMAINS: Final = 8
REGIONS: Final = 2
SEEDS: Final = 3
WAIT: Final = 60.0
STORE: Final = 'store'
OPERATOR: Final = 'operator'


class RigPlan(msgspec.Struct, frozen=True):
    """Say how many nodes; `expiry` is seconds a silent target stays."""

    nodes: int
    expiry: float = 3
    domains: int = DOMAINS


class Rig:
    """Run nodes and the store, each as a process of its own.

    `pids` holds the processes of the nodes that are meant to run.
    """

    def __init__(
        self,
        plan: RigPlan,
        folder: Path,
        processes: Processes,
    ) -> None:
        """Choose addresses; nothing runs before `start`."""
        self.layout = place_nodes(plan.nodes, plan.domains)
        self.processes = processes
        self.pids: dict[str, int] = {}
        self.client = ControlClient()
        self.http = CurlClient(force_instance=True)
        self.store: OpenStore = open_store(
            StoreSettings((self.layout.store,), OPERATOR),
        )
        self.editor = Editor(self.store, CLUSTER)
        self._plan = plan
        self._folder = folder
        self.store_control = find_free(make_ip(0))

    async def start(self) -> None:
        """Start all and wait until every node takes work."""
        listen = ('--listen', str(self.layout.store))
        control = ('--control', str(self.store_control))
        arguments = ('emulator', STORE, *listen, *control)
        self.processes.start(Program(STORE, arguments))
        for host in self.layout.hosts:
            self.start_node(host)
        await self.settle()

    def start_node(self, host: HostPlan) -> None:
        """Start a host's node."""
        path = self._folder / f'{host.name}.toml'
        first = replace(self.layout, hosts=self.layout.hosts[:SEEDS])
        text = render_settings(first, host)
        expiry = self._plan.expiry
        section = f'[announcements]\nexpiry = {expiry}'
        path.write_text(f'{text}\n{section}\n', 'utf-8')
        arguments = ('node', '--settings', str(path))
        program = Program(host.name, arguments)
        self.pids[host.name] = self.processes.start(program)

    def running(self) -> tuple[HostPlan, ...]:
        """Return the hosts whose nodes are meant to run."""
        hosts = self.layout.hosts
        return tuple(host for host in hosts if host.name in self.pids)

    async def settle(self) -> float:
        """Wait until all are ready and know all; return the seconds."""
        took = await wait_until(self.is_complete, WAIT)
        if took is None:
            raise TimeoutError('the nodes do not all become ready')
        return took

    async def is_complete(self) -> bool:
        """Tell whether all nodes are ready and know exactly one another."""
        hosts = self.running()
        ready = await gather(
            *(self.client.is_ready(host.control) for host in hosts),
        )
        if not all(ready):
            return False
        alive = await gather(*map(self.count_alive, hosts))
        return set(alive) == {len(hosts)}

    async def count_alive(self, host: HostPlan) -> int:
        """Return how many nodes are alive as seen from a host."""
        page = await self.client.read_members(host.control)
        return sum(member.alive for member in page.members) if page else 0

    async def await_revision(self, revision: int) -> None:
        """Wait until all running nodes hold a revision, or too long."""
        await wait_until(partial(self._hold, revision), WAIT)

    async def read_calls(self) -> Measurement:
        """Return what the store has been asked since its start."""
        url = f'http://{self.store_control}/calls'
        answer = await self.http.fetch(url)
        return msgspec.json.decode(answer.body, type=Measurement)

    def close(self) -> None:
        """Close the clients; the processes end with their context."""
        self.store.close()
        self.client.close()
        self.http.close()

    async def _hold(self, revision: int) -> bool:
        pages = await gather(
            *(
                self.client.read_configuration(host.control)
                for host in self.running()
            ),
        )
        return all(page and page.revision >= revision for page in pages)


@asynccontextmanager
async def start_rig(plan: RigPlan) -> AsyncIterator[Rig]:
    """Run a rig, and end all its processes in any case."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        processes = stack.enter_context(Processes(folder))
        rig = Rig(plan, folder, processes)
        stack.callback(rig.close)
        await rig.start()
        yield rig


def place_nodes(nodes: int, domains: int) -> Layout:
    """Return hosts dealt out over failure domains of two regions."""
    layout = make_layout(nodes, (), domains)
    hosts = tuple(
        replace(host, locality=_locate(number % domains, host.locality))
        for number, host in enumerate(layout.hosts)
    )
    return replace(layout, hosts=hosts)


def _locate(domain: int, given: Locality) -> Locality:
    region = domain % REGIONS
    return Locality(f'region-{region}', given.failure_domain, given.host)
