"""The fleet's bound on repeats between nodes, over real datagrams."""

import asyncio
from contextlib import AsyncExitStack
from itertools import chain
from types import SimpleNamespace
from typing import Any

from pytest import fixture

from hillfield.demo.layout import find_free, make_ip
from hillfield.events import EventCode, ListJournal
from hillfield.fleet import NodeRecord
from hillfield.metrics import NodeMetrics
from hillfield.model import Address, Locality, RequestPlan
from hillfield.node.repeats import RepeatExchange, Surroundings
from hillfield.repeats import RepeatBound, RepeatKind

KEY = b'key'
# 5 and 2 of 40 are each node's own, so 19 are left for loans.
BOUND = RepeatBound(0.2, 10, 40)
POOL = 19
PLAN = RequestPlan('till', 'read', 'shop', True, 1)


class Clock:
    """Tell a time that only a test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Quiet:
    """Be a target that runs nothing."""

    def count_running(self):
        return 0

    def find_repeated(self):
        return 0


class Host:
    """Hold a node's exchange."""

    def __init__(self, number, port):
        self.address = Address(make_ip(number), port)
        place = Locality('r', 'a', f'h{number}')
        self.record = NodeRecord(
            place.host,
            place,
            self.address,
            self.address,
            self.address,
        )
        self.journal = ListJournal()
        self.metrics = NodeMetrics()
        recording: Any = SimpleNamespace(
            journal=self.journal,
            metrics=self.metrics,
        )
        routes = SimpleNamespace(services=lambda: ('till',))
        self.exchange = RepeatExchange(
            self.address,
            KEY,
            BOUND,
            Surroundings(Quiet(), routes, recording),
        )

    def meet(self, hosts):
        records = {host.record.name: host.record for host in hosts}
        core: Any = SimpleNamespace(
            own=SimpleNamespace(record=self.record),
            book=SimpleNamespace(alive=frozenset(records), records=records),
        )
        self.exchange.join(core)

    def take(self, times=1):
        return sum(
            self.exchange.tokens.take('till', RepeatKind.SHED)
            for _ in range(times)
        )

    @property
    def loan(self):
        return self.exchange._local._find('till').loan


@fixture
def clock(monkeypatch):
    moving = Clock()
    for module in ('repeats', 'tokens'):
        monkeypatch.setattr(f'hillfield.node.{module}.monotonic', moving)
    return moving


def play(clock, story):
    """Run a story over three hosts that remember a whole window."""

    async def act():
        port = find_free(make_ip(1)).port
        hosts = [Host(number, port) for number in (1, 2, 3)]
        for host in hosts:
            host.exchange.socket.start()
            host.meet(hosts)
        clock.now += 20
        async with AsyncExitStack() as stack:
            for opened in hosts:
                stack.push_async_callback(opened.exchange.stop)
            await story(hosts)

    asyncio.run(act())


async def report_until(clock, hosts, is_true):
    """Let all report each second until something is so."""
    async with asyncio.timeout(10):
        while not is_true():
            clock.now += 1
            for host in hosts:
                host.exchange._tick()
            await asyncio.sleep(0.01)


async def take_for(clock, hosts, seconds):
    """Take all that is allowed, each 0.2 s; return how many."""
    taken = 0
    until = clock.now + seconds
    while clock.now < until:
        clock.now += 0.2
        for host in hosts:
            taken += host.take(5)
            host.exchange._tick()
        await asyncio.sleep(0.01)
    return taken


def lend_to_all(hosts):
    return all(host.loan.held for host in hosts)


def test_each_node_is_lent_some_before_it_needs_them(clock):
    async def story(hosts):
        await report_until(clock, hosts, lambda: lend_to_all(hosts))

    play(clock, story)


def test_all_nodes_together_stay_within_the_bound(clock):
    async def story(hosts):
        await report_until(clock, hosts, lambda: lend_to_all(hosts))
        taken = await take_for(clock, hosts, 8)
        own = BOUND.find_own(3) * len(hosts)
        assert own + POOL / 2 <= taken <= BOUND.slack
        told = chain.from_iterable(host.journal.occurrences for host in hosts)
        codes = [occurrence.code for occurrence in told]
        assert EventCode.REPEATS_EXHAUSTED in codes

    play(clock, story)


def test_a_nodes_own_repeats_need_nobody(clock):
    async def story(hosts):
        assert hosts[0].take(50) == BOUND.find_own(1)
        rendered = b''.join(hosts[0].metrics.render()).decode()
        assert 'answer="granted",kind="shed",service="till"' in rendered
        assert 'answer="refused",kind="shed",service="till"' in rendered

    play(clock, story)


def test_requests_of_accounts_raise_what_is_lent(clock):
    async def story(hosts):
        for host in hosts:
            for _ in range(100):
                host.exchange.note_plan(PLAN)
        await report_until(clock, hosts, lambda: lend_to_all(hosts))
        taken = await take_for(clock, hosts, 4)
        allowed = BOUND.slack + BOUND.ratio * 100 * len(hosts)
        assert BOUND.slack < taken <= allowed

    play(clock, story)
