"""Test that nodes come back whole, and that no work is done twice meanwhile.

Real nodes over loopback in one process; each test is the core of a scene of
`hillfield experiment repair`.
"""

import asyncio
from itertools import product
from pathlib import Path

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
from hillfield.configuration.editing import Authorship, Editor
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
from hillfield.settings import parse_settings
from hillfield.store.opening import open_store
from hillfield.store.store_settings import StoreSettings

SERVICE = 'settlement'
SECRET = 'of-a-test-only'
PATIENCE = 20
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


class Trial:
    """Run nodes and the store stand-in on one loop."""

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

        assert await wait_until(look, PATIENCE) is not None

    def is_ready(self, number):
        return self.nodes[number].page.read_readiness().ready

    def read(self, number):
        return self.nodes[number].page.read_configuration()

    def faults(self):
        return [node.fleet.links.faults for node in self.nodes.values()]

    async def until_held(self, number):
        async def look():
            return self.read(number).revision >= self.revision

        assert await wait_until(look, PATIENCE) is not None


class Frozen:
    """Take requests as a stopped process does, and run them on waking."""

    def __init__(self):
        self.ran = []
        self.woken = asyncio.Event()
        self.taken = 0

    async def serve(self, reader, writer):
        self.taken += 1
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

    assert await wait_until(look, PATIENCE) is not None


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


def test_a_node_restarted_without_the_store_has_the_newest_configuration():
    """It isn't ready a moment before it holds what was accepted last."""

    async def play():
        async with Trial(3) as trial:
            await asyncio.gather(*map(trial.start, range(3)))
            await trial.until_ready(0, 1, 2)
            await trial.change(2)
            await asyncio.gather(*map(trial.until_held, range(3)))
            await trial.store.set_faults(StoreFaults(Outage.REFUSE))
            await trial.nodes.pop(0).stop()
            await trial.start(0)
            # Looked at in each turn of the loop: not one may serve less.
            async with asyncio.timeout(PATIENCE):
                while not trial.is_ready(0):
                    await asyncio.sleep(0)
            return trial.revision, trial.read(0), trial.read(1)

    revision, restarted, other = asyncio.run(play())
    assert restarted.revision == revision
    assert restarted.root == other.root


def test_parted_nodes_merge_to_the_change_that_one_of_them_got():
    """The one that lags takes the newer entry and never gives its own."""

    async def play():
        async with Trial(2) as trial:
            await trial.start(0)
            await trial.start(1, with_store=False)
            await trial.until_ready(0, 1)
            for faults, host in product(trial.faults(), trial.layout.hosts):
                faults.cut(host.links)
            before = trial.revision
            await trial.change(2)
            await trial.until_held(0)
            apart = trial.read(1).revision
            for healed in trial.faults():
                healed.heal()
            await trial.until_held(1)
            return before, apart, trial.read(0), trial.read(1)

    before, apart, newer, lagging = asyncio.run(play())
    assert apart == before
    assert newer.root == lagging.root
    assert newer.revision > before


def test_a_target_that_wakes_runs_no_capture_that_was_told_not_run():
    """Captures in flight at a frozen target may run when it wakes.

    So they are told `unknown`, and are never sent a second time.
    """

    async def play():
        async with Trial(1) as trial:
            await trial.start(0)
            await trial.until_ready(0)
            host = trial.layout.hosts[0]
            frozen = Frozen()
            address = find_free(host.callers.ip)
            server = await asyncio.start_server(
                frozen.serve,
                address.ip,
                address.port,
            )
            await announce(trial.nodes[0], host, address)
            calls = await send(host, CAPTURE, 6)
            frozen.woken.set()

            async def look():
                return len(frozen.ran) == frozen.taken

            await wait_until(look, PATIENCE)
            server.close()
            return {call.request: call.ending for call in calls}, frozen.ran

    told, ran = asyncio.run(play())
    assert Ending.UNKNOWN in told.values()
    assert {told[name] for name in ran} == {Ending.UNKNOWN}
    assert len(ran) == len(set(ran))
