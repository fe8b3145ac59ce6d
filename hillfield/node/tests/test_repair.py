"""Recovery of nodes after faults, without running a request twice.

Real nodes over loopback in one process; each test is the core of a scenario of
`hillfield experiment repair`.
"""

import asyncio
from itertools import product
from pathlib import Path

from msgspec.structs import replace

from hillfield.configuration.editing import Authorship, Editor
from hillfield.configuration.public import (
    ClientAccount,
    Configuration,
    Idempotency,
    RouteRule,
    ServiceUse,
    Template,
    hash_secret,
)
from hillfield.demo.layout import (
    CLUSTER,
    find_free,
    make_layout,
    render_settings,
)
from hillfield.demo.waiting import wait_until
from hillfield.emulator import (
    Caller,
    CallerSettings,
    CallKind,
    Credentials,
    Ending,
)
from hillfield.emulator.arrivals import Arrival
from hillfield.emulator.heartbeat import Announcement, Heartbeat
from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_server import StoreServer
from hillfield.events import ListJournal
from hillfield.model import TargetState
from hillfield.node.direct import DirectNode
from hillfield.settings.reader import parse_settings
from hillfield.store.opening import open_store
from hillfield.store.store_settings import StoreSettings

SERVICE = 'settlement'
SECRET = 'of-a-test-only'
TIMEOUT_SECONDS = 20
READY = TargetState.READY
NAME = 'x-request-id: '
QUICK = '[announcements]\nheartbeat = 0.3\nexpiry = 1'
TEMPLATE = Template(
    SERVICE,
    (
        RouteRule('lookup', ('GET',), '/batches'),
        RouteRule('capture', ('POST',), '/captures', Idempotency.NEVER),
    ),
    deadline=1,
)
CONFIGURATION = Configuration(
    (TEMPLATE,),
    (ClientAccount('till', (hash_secret(SECRET),), (ServiceUse(SERVICE),)),),
)
CAPTURE = CallKind(SERVICE, 'POST', '/captures', idempotent=False)


class Environment:
    """Run nodes and the emulated store on one loop."""

    def __init__(self, hosts):
        self.layout = make_layout(hosts, (), domains=2)
        self.store = StoreServer(self.layout.store)
        self.nodes = {}
        self.revision = 0

    async def __aenter__(self):
        self.store.start()
        await self.change(1)
        return self

    async def __aexit__(self, *cause):
        stopping = [node.stop() for node in self.nodes.values()]
        await asyncio.gather(*stopping)
        await self.store.stop()

    async def change(self, deadline):
        template = replace(TEMPLATE, deadline=deadline)
        settings = StoreSettings((self.layout.store,), 'test')
        editor = Editor(open_store(settings, ListJournal()), CLUSTER)
        wanted = replace(CONFIGURATION, templates=(template,))
        applied = await editor.apply(wanted, Authorship('me'))
        self.revision = applied.ok.revision

    async def start(self, number, with_store=True):
        host = self.layout.hosts[number]
        text = f'{render_settings(self.layout, host)}\n{QUICK}'
        if not with_store:
            text = text.replace(str(self.layout.store), '127.0.0.1:1')
        self.nodes[number] = DirectNode(parse_settings(text, Path()).ok)
        assert (await self.nodes[number].start()).is_ok()

    async def until_ready(self, *numbers):
        async def look():
            return all(self.is_ready(number) for number in numbers)

        assert await wait_until(look, TIMEOUT_SECONDS) is not None

    def is_ready(self, number):
        return self.nodes[number].page.read_readiness().ready

    def read(self, number):
        return self.nodes[number].page.read_configuration()

    def faults(self):
        return [node.fleet.links.faults for node in self.nodes.values()]

    async def until_held(self, number):
        async def look():
            return self.read(number).revision >= self.revision

        assert await wait_until(look, TIMEOUT_SECONDS) is not None


class FrozenTarget:
    """Accept connections without reading, and run requests once woken."""

    def __init__(self):
        self.ran = []
        self.woken = asyncio.Event()
        self.accepted = 0

    async def serve(self, reader, writer):
        self.accepted += 1
        await self.woken.wait()
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().lower().split('\r\n')
        named = [line for line in lines if line.startswith(NAME)]
        self.ran.append(named[0].removeprefix(NAME))
        writer.close()


async def announce(node, host, address):
    heartbeat = Heartbeat(host.control)
    announced = Announcement(SERVICE, str(address), 1, 8, 64, 1, READY, 0)
    assert await heartbeat.announce(announced)
    heartbeat.close()

    async def look():
        return bool(node.page.list_targets())

    assert await wait_until(look, TIMEOUT_SECONDS) is not None


async def send(host, kind, count):
    settings = CallerSettings(
        (host.callers,),
        (kind,),
        credentials=Credentials('till', SECRET),
    )
    caller = Caller(settings)
    arrivals = [
        Arrival(0, f'call-{number}', host.callers, kind)
        for number in range(count)
    ]
    calls = await asyncio.gather(*map(caller.send, arrivals))
    caller.close()
    return calls


def test_a_node_restarted_without_the_store_gets_the_newest_configuration():
    """The node is not ready before it holds the last accepted revision."""

    async def run_scenario():
        async with Environment(3) as environment:
            await asyncio.gather(*map(environment.start, range(3)))
            await environment.until_ready(0, 1, 2)
            await environment.change(2)
            await asyncio.gather(*map(environment.until_held, range(3)))
            await environment.store.set_faults(StoreFaults(Outage.REFUSE))
            await environment.nodes.pop(0).stop()
            await environment.start(0)
            # Readiness is checked in each iteration of the loop, so that a node
            # that is ready for a moment with an older revision is noticed.
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while not environment.is_ready(0):
                    await asyncio.sleep(0)
            return (
                environment.revision,
                environment.read(0),
                environment.read(1),
            )

    revision, restarted, other = asyncio.run(run_scenario())
    assert restarted.revision == revision
    assert restarted.root == other.root


def test_partitioned_nodes_converge_to_the_newer_entry():
    """The lagging node gets the newer entry and does not spread its own."""

    async def run_scenario():
        async with Environment(2) as environment:
            await environment.start(0)
            await environment.start(1, with_store=False)
            await environment.until_ready(0, 1)
            for faults, host in product(
                environment.faults(), environment.layout.hosts
            ):
                faults.cut(host.links)
            before = environment.revision
            await environment.change(2)
            await environment.until_held(0)
            apart = environment.read(1).revision
            for healed in environment.faults():
                healed.heal()
            await environment.until_held(1)
            return before, apart, environment.read(0), environment.read(1)

    before, apart, newer, lagging = asyncio.run(run_scenario())
    assert apart == before
    assert newer.root == lagging.root
    assert newer.revision > before


def test_a_woken_target_runs_no_request_that_was_reported_not_run():
    """Requests in flight at a frozen target may run when it wakes.

    So their outcome is `unknown`, and they are never sent a second time.
    """

    async def run_scenario():
        async with Environment(1) as environment:
            await environment.start(0)
            await environment.until_ready(0)
            host = environment.layout.hosts[0]
            frozen = FrozenTarget()
            address = find_free(host.callers.ip)
            server = await asyncio.start_server(
                frozen.serve,
                address.ip,
                address.port,
            )
            await announce(environment.nodes[0], host, address)
            calls = await send(host, CAPTURE, 6)
            frozen.woken.set()

            async def look():
                return len(frozen.ran) == frozen.accepted

            await wait_until(look, TIMEOUT_SECONDS)
            server.close()
            return {call.request: call.ending for call in calls}, frozen.ran

    outcomes, ran = asyncio.run(run_scenario())
    assert Ending.UNKNOWN in outcomes.values()
    assert {outcomes[name] for name in ran} == {Ending.UNKNOWN}
    assert len(ran) == len(set(ran))
