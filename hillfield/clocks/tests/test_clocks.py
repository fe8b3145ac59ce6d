"""Test a suspended host, whose CLOCK_MONOTONIC and node clock differ."""

import asyncio
import time
from dataclasses import dataclass

from pytest import approx, fixture

from hillfield.clocks import clocks, monotonic
from hillfield.events import EventCode, TimelineFilter
from hillfield.platform.tests.installation import open_installation

SUSPENSION_SECONDS = 5.0
EVERYTHING = TimelineFilter()


@dataclass
class Suspension:
    """Add the seconds for which the host was suspended."""

    seconds: float = 0

    def read(self, clock):
        assert clock == time.CLOCK_BOOTTIME
        return time.clock_gettime(clock) + self.seconds


@fixture
def suspension(monkeypatch):
    """Let the node's clock differ from that of the event loop."""
    simulated = Suspension()
    monkeypatch.setattr(clocks, 'clock_gettime', simulated.read)
    return simulated


def test_seconds_of_a_suspension_count(suspension):
    before, steady = monotonic(), time.monotonic()
    suspension.seconds = SUSPENSION_SECONDS
    assert monotonic() - before >= SUSPENSION_SECONDS
    assert time.monotonic() - steady < SUSPENSION_SECONDS


def test_setting_the_wall_clock_does_not_affect_monotonic(monkeypatch):
    before = monotonic()
    monkeypatch.setattr(clocks, 'time_ns', int)
    assert clocks.read_wall() == 0
    assert monotonic() == approx(before, abs=SUSPENSION_SECONDS)


def test_request_that_waited_through_a_suspension_is_not_sent_again(
    tmp_path, suspension
):
    async def scenario(installation):
        for host in installation.hosts:
            host.target.mood = 'hang'
        request = installation.send(
            installation.hosts[0], '/reads/', 'a', 'GET', deadline=2000
        )
        sent = asyncio.create_task(request)
        await asyncio.sleep(0.2)
        runs = len(installation.find_runs('a'))
        suspension.seconds = SUSPENSION_SECONDS
        answer = await sent
        assert answer.code == 504
        assert len(installation.find_runs('a')) == runs

    run_scenario(tmp_path, scenario)


def test_node_detects_that_it_was_suspended(tmp_path, suspension):
    async def scenario(installation):
        suspension.seconds = SUSPENSION_SECONDS
        await installation.settle(check_noticed(installation))

    run_scenario(tmp_path, scenario)


def check_noticed(installation):
    async def has_noticed():
        return all(
            EventCode.PAUSE_NOTICED in list_codes(host)
            for host in installation.hosts
        )

    return has_noticed


def list_codes(host):
    entries = host.node.parts.timeline.select(EVERYTHING)
    return {entry.code for entry in entries}


def run_scenario(folder, scenario):
    async def send_requests():
        async with open_installation(
            folder, ('refunds', 'refunds')
        ) as installation:
            await scenario(installation)

    asyncio.run(send_requests())
