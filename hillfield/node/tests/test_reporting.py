"""Load reports between nodes, over real datagrams."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

from pytest import fixture

from hillfield.demo.layout import find_free, make_ip
from hillfield.events import ListJournal
from hillfield.fleet import NodeRecord
from hillfield.gate import Gate, Seat
from hillfield.loadreports import LoadReport, ReportCodec
from hillfield.model import Address, Locality, Target, TargetId
from hillfield.node.reporting import LoadReporting

KEY = b'key'


class Host:
    """Hold a gate and its reporting; `heard` are the reports of others."""

    def __init__(self, number, domain, port):
        self.address = Address(make_ip(number), port)
        self.heard = []
        self.delivered: list[Any] = []
        self.gate = Gate(ListJournal())
        place = Locality('r', domain, f'h{number}')
        self.record = NodeRecord(
            place.host,
            place,
            self.address,
            self.address,
            self.address,
        )
        self.target = Target(
            TargetId('s', Address(self.address.ip, 80), 1),
            place,
            5,
            300,
        )
        self.counted: Counter[str] = Counter()
        self.reporting = LoadReporting(
            self.address,
            KEY,
            self.gate,
            self.take,
            self.delivered.extend,
        )
        self.reporting.socket.counter = self.count

    @property
    def passed(self):
        return self.counted['passed']

    def count(self, direction, times):
        self.counted[direction] += times

    def take(self, now, report):
        if report.ip != self.address.ip:
            self.heard.append(report)
        return ()

    def meet(self, hosts):
        records = {host.record.name: host.record for host in hosts}
        core: Any = SimpleNamespace(
            own=SimpleNamespace(record=self.record),
            book=SimpleNamespace(alive=frozenset(records), records=records),
            view=SimpleNamespace(targets_of=lambda service: ()),
        )
        self.reporting.join(core)
        self.gate.take_seat(Seat(self.target, 'i'))
        # Choose the audience: nothing is told before.
        self.reporting.note(0)


@fixture
def port():
    return find_free(make_ip(1)).port


async def open_hosts(port, domains):
    hosts = [
        Host(number, domain, port) for number, domain in enumerate(domains, 1)
    ]
    for host in hosts:
        host.reporting.start()
    for host in hosts:
        host.meet(hosts)
    await asyncio.sleep(0.1)
    return hosts


async def close_hosts(hosts):
    await asyncio.gather(*(host.reporting.stop() for host in hosts))


def test_a_report_reaches_its_own_domain_and_through_one_node_another(port):
    async def play():
        hosts = await open_hosts(port, 'aabb')
        for host in hosts:
            host.heard.clear()
        hosts[0].reporting.note(10)
        await asyncio.sleep(0.2)
        heard = [len(one.heard) for one in hosts]
        await close_hosts(hosts)
        return heard

    assert asyncio.run(play()) == [0, 1, 1, 1]


def test_a_report_of_a_node_that_is_not_known_is_not_passed_on(port):
    """Where it was, 47 nodes of one domain passed each report on and on."""

    async def play():
        hosts = await open_hosts(port, 'aaa')
        hosts[1].meet(hosts[1:])
        for host in hosts:
            host.heard.clear()
            host.counted.clear()
        hosts[0].reporting.note(10)
        await asyncio.sleep(0.2)
        await close_hosts(hosts)
        heard = [len(one.heard) for one in hosts]
        passed = [one.passed for one in hosts]
        return heard, passed

    heard, passed = asyncio.run(play())
    assert heard == [0, 1, 1]
    assert not any(passed)


def test_stray_datagrams_and_a_closed_socket_do_no_harm(port):
    async def play():
        hosts = await open_hosts(port, 'aa')
        hosts[1].heard.clear()
        identity = hosts[0].target.id
        forged = LoadReport('s', identity.address.ip, 80, 1, 99, 0)
        told = (hosts[1].address.ip,)
        for datagram in (b'stray', ReportCodec(b'other').seal(forged)):
            hosts[0].reporting.socket.send(datagram, told)
        await asyncio.sleep(0.1)
        await close_hosts(hosts)
        hosts[0].reporting.note(20)
        return hosts[1].heard

    assert asyncio.run(play()) == []
