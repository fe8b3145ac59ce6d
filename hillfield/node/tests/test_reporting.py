"""Load reports between nodes over real datagrams."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

from pytest import fixture

from hillfield.demo.layout import find_free, make_ip
from hillfield.events import ListJournal
from hillfield.fleet import NodeRecord
from hillfield.gate import Gate, ServedIncarnation
from hillfield.loadreports import LoadReport, ReportCodec
from hillfield.model import Address, Locality, Target, TargetId
from hillfield.node.reporting import LoadReporting

KEY = b'key'


class Host:
    """Hold a gate and its reporting; `received` are reports of others."""

    def __init__(self, number, domain, port):
        self.address = Address(make_ip(number), port)
        self.received = []
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
            self.apply,
            self.delivered.extend,
        )
        self.reporting.socket.counter = self.count

    @property
    def passed(self):
        return self.counted['passed']

    def count(self, direction, times):
        self.counted[direction] += times

    def apply(self, now, report):
        if report.ip != self.address.ip:
            self.received.append(report)
        return ()

    def join_fleet(self, hosts):
        records = {host.record.name: host.record for host in hosts}
        core: Any = SimpleNamespace(
            own=SimpleNamespace(record=self.record),
            state_table=SimpleNamespace(
                alive=frozenset(records), records=records
            ),
            view=SimpleNamespace(targets_of=lambda service: ()),
        )
        self.reporting.join(core)
        self.gate.serve(ServedIncarnation(self.target, 'i'))
        # Chooses the recipients; nothing is sent before.
        self.reporting.send_reports(0)


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
        host.join_fleet(hosts)
    await asyncio.sleep(0.1)
    return hosts


async def close_hosts(hosts):
    await asyncio.gather(*(host.reporting.stop() for host in hosts))


def test_a_report_reaches_its_domain_and_another_one_through_one_node(port):
    async def run_scenario():
        hosts = await open_hosts(port, 'aabb')
        for host in hosts:
            host.received.clear()
        hosts[0].reporting.send_reports(10)
        await asyncio.sleep(0.2)
        received = [len(one.received) for one in hosts]
        await close_hosts(hosts)
        return received

    assert asyncio.run(run_scenario()) == [0, 1, 1, 1]


def test_a_report_of_an_unknown_node_is_not_forwarded(port):
    """Otherwise 47 nodes of one domain forward each report without end."""

    async def run_scenario():
        hosts = await open_hosts(port, 'aaa')
        hosts[1].join_fleet(hosts[1:])
        for host in hosts:
            host.received.clear()
            host.counted.clear()
        hosts[0].reporting.send_reports(10)
        await asyncio.sleep(0.2)
        await close_hosts(hosts)
        received = [len(one.received) for one in hosts]
        forwarded = [one.passed for one in hosts]
        return received, forwarded

    received, forwarded = asyncio.run(run_scenario())
    assert received == [0, 1, 1]
    assert not any(forwarded)


def test_forged_datagrams_and_a_closed_socket_are_ignored(port):
    async def run_scenario():
        hosts = await open_hosts(port, 'aa')
        hosts[1].received.clear()
        identity = hosts[0].target.id
        forged = LoadReport('s', identity.address.ip, 80, 1, 99, 0)
        recipients = (hosts[1].address.ip,)
        for datagram in (b'stray', ReportCodec(b'other').seal(forged)):
            hosts[0].reporting.socket.send(datagram, recipients)
        await asyncio.sleep(0.1)
        await close_hosts(hosts)
        hosts[0].reporting.send_reports(20)
        return hosts[1].received

    assert asyncio.run(run_scenario()) == []
