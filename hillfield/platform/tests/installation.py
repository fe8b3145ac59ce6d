"""A small installation: hosts with a node and a target each, and a store."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

from msgspec.json import encode
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from hillfield.demo.layout import find_free, make_ip
from hillfield.model import Address
from hillfield.node.gated import GatedNode
from hillfield.platform.boot import read_boot
from hillfield.platform.fittings import make_node
from hillfield.platform.tests.standin_store import open_store
from hillfield.platform.tests.standin_target import StandInTarget

HOST = 'till.example'
PATIENCE = 15
# Ports of a host, from the first one on.
PORTS = 8
# Seconds within which a change is promised to be in force.
PROMISED = 2
LIMITS = MappingProxyType(
    {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1_000_000,
        'headerTimeoutS': 3,
        'idleTimeoutS': 15,
    }
)


def make_rule(prefix, service, kind='unsafe', timeout=2, attempts=2):
    return {
        'name': f'r-{prefix}',
        'kind': kind,
        'targetLatencyS': 0.8,
        'priority': 1,
        'match': {'prefix': prefix},
        'action': {
            'service': service,
            'timeoutS': timeout,
            'maxAttempts': attempts,
        },
    }


def make_configuration(version, *rules, limits=None, **more):
    names = {rule['action']['service'] for rule in rules}
    return encode(
        {
            'version': version,
            'limits': dict(limits or LIMITS),
            'listeners': [{'host': HOST, 'rules': rules}],
            'clusters': [
                {'name': name, 'healthPath': '/h', 'maxConnections': 390}
                for name in sorted(names)
            ],
            **more,
        },
    )


RULES = (
    make_rule('/refunds/', 'refunds'),
    make_rule('/reads/', 'refunds', 'safe'),
    make_rule('/captures/', 'captures'),
)


@dataclass
class Host:
    """Hold a host's node, its target and its addresses."""

    name: str
    ip: str
    ports: tuple[int, ...]
    path: Path
    target: StandInTarget
    node: GatedNode | None = None

    @property
    def callers(self):
        return Address(self.ip, self.ports[0])

    @property
    def hops(self):
        return Address(self.ip, self.ports[0] - 3)

    @property
    def ready(self):
        return Address(self.ip, self.ports[1])

    @property
    def control(self):
        return Address(self.ip, self.ports[2])


class Installation:
    """Start and end hosts; each has an IP number of its own."""

    def __init__(self, folder, make_target=StandInTarget):
        self.folder = folder
        self._make_target = make_target
        self.store: Any = None
        self.hosts: list[Any] = []
        self.client = AsyncHTTPClient()
        self._server: Any = None
        self._beating: list[Any] = []
        base = find_free(make_ip(1)).port
        self._base = min(base, 60000)
        self.store_address = find_store_address(self._base)

    async def start(self, services, rules=RULES):
        """Start a host a service; zones are dealt out over a and b."""
        opened = open_store(self.store_address)
        self.store = opened.state
        self._server = opened.server
        self.store.put('op/config', make_configuration(1, *rules))
        await asyncio.gather(
            *(
                self.add(number, service)
                for number, service in enumerate(services, 1)
            ),
        )
        self.hosts.sort(key=_find_name)
        await self.settle(self.is_complete)

    async def add(self, number, service):
        ip = make_ip(number)
        base = self._base
        host = Host(
            f'side-{number}',
            ip,
            (base + 4, base + 5, base + 6),
            self.folder / f'{number}.json',
            self._make_target(Address(ip, base + 7), service, f'i-{number}'),
        )
        # Each host calls the store at an address of its own.
        self._server.listen(self.store_address.port, ip)
        host.path.write_bytes(self._write_boot(host, number))
        self.hosts.append(host)
        host.target.start()
        await self.start_node(host)
        return host

    async def start_node(self, host):
        node = make_node(read_boot(host.path).ok)
        started = await node.start()
        assert started.is_ok(), started
        host.node = node
        self._beating.append(asyncio.create_task(self._beat(host, node)))

    async def restart_node(self, host):
        """Kill a host's node and start it again beside the same target."""
        node = host.node
        host.node = None
        await node.abandon()
        await self.start_node(host)
        await self.settle(self.is_complete)

    async def is_complete(self):
        """Tell whether each node is ready and knows all targets."""
        services = [host.target.service for host in self.hosts if host.node]
        pages = [host.node.page for host in self.hosts if host.node]
        known = [len(page.list_targets()) for page in pages]
        return all(count >= len(services) for count in known)

    async def is_followed(self):
        """Tell whether nodes of both zones have followed the store a while."""
        cores = [host.node.page.core for host in self.hosts if host.node]
        holders = [core.own.record.relay_slot for core in cores]
        zones = {holder.partition('/')[0] for holder in holders if holder}
        await asyncio.sleep(0.5)
        return zones == {'a', 'b'}

    async def settle(self, condition, seconds=PATIENCE):
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(0.05)

    async def send(self, host, path, request, method='POST', **more):
        """Send a caller's request to the node of a host."""
        headers = {
            'Host': HOST,
            'X-Request-Id': request,
            'X-Deadline': str(more.pop('deadline', 2000)),
            **(more.pop('headers', None) or {}),
        }
        body = more.pop('body', b'x' if method == 'POST' else None)
        wanted = HTTPRequest(
            f'http://{host.callers}{path}',
            method=method,
            headers=headers,
            body=body,
            request_timeout=10,
            **more,
        )
        return await self.client.fetch(wanted, raise_error=False)

    async def serves(self, path):
        """Tell whether every node serves a path."""
        answers = await asyncio.gather(
            *(self.send(host, path, f'x-{host.name}') for host in self.hosts),
        )
        return all(answer.code == 200 for answer in answers)

    async def send_in_turn(self, host, path, count, **more):
        """Send requests, each after the answer to the one before."""
        answers: list[Any] = []
        while len(answers) < count:
            name = f'r{len(answers)}'
            answers.append(await self.send(host, path, name, **more))
        return answers

    def find_runs(self, request):
        """Return the targets' records of a request."""
        return [
            run
            for host in self.hosts
            for run in host.target.runs
            if run.request == request
        ]

    async def stop(self):
        for task in self._beating:
            task.cancel()
        running = [host.node for host in self.hosts if host.node]
        await asyncio.gather(*(node.abandon() for node in running))
        await asyncio.gather(*(host.target.stop() for host in self.hosts))
        self._server.stop()
        await self._server.close_all_connections()

    async def _beat(self, host, node):
        while host.node is node:
            await host.target.announce(host.control)
            await asyncio.sleep(0.3)

    def _write_boot(self, host, number):
        base = self._base
        store = Address(host.ip, self.store_address.port)
        return encode(
            {
                'node': host.name,
                'ip': host.ip,
                'zone': 'ab'[number % 2],
                'region': 'r',
                'listen': {
                    'outbound': str(host.callers),
                    'ready': str(host.ready),
                    'control': str(host.control),
                },
                'internalPorts': [base, base + 3],
                'heartbeatS': 0.3,
                'bounds': ['graceS=6', 'retryBudgetRatio=0.2'],
                'service': host.target.service,
                'appAddr': str(host.target.address),
                'platform': {'address': str(store)},
                'unknownField': 1,
            },
        )


def find_store_address(base):
    """Return an address for the store, whose port no host uses."""
    address = find_free(make_ip(0))
    while address.port in range(base, base + PORTS):
        address = find_free(make_ip(0))
    return address


def _find_name(host):
    return host.name


@asynccontextmanager
async def open_installation(
    folder,
    services,
    rules=RULES,
    make_target=StandInTarget,
):
    """Start an installation and end it."""
    site = Installation(folder, make_target)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(site.stop)
        await site.start(services, rules)
        yield site


def play_site(folder, story, services, make_target=StandInTarget):
    """Run a coroutine function over an installation and end it."""

    async def act():
        async with open_installation(
            folder,
            services,
            make_target=make_target,
        ) as site:
            await story(site)

    asyncio.run(act())
