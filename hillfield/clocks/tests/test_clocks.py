"""A host that is suspended: its steady clock and that of its nodes move apart."""

import asyncio
import time
from dataclasses import dataclass

from pytest import approx, fixture

from hillfield.clocks import clocks, monotonic
from hillfield.events import EventCode, TimelineFilter
from hillfield.platform.tests.installation import open_installation

SLEEP = 5.0
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
    """Move the clock of decisions apart from that of the loop."""
    made = Suspension()
    monkeypatch.setattr(clocks, 'clock_gettime', made.read)
    return made


def test_the_seconds_of_a_suspension_count(suspension):
    before, steady = monotonic(), time.monotonic()
    suspension.seconds = SLEEP
    assert monotonic() - before >= SLEEP
    assert time.monotonic() - steady < SLEEP


def test_a_wall_clock_that_is_set_ends_no_wait(monkeypatch):
    before = monotonic()
    monkeypatch.setattr(clocks, 'time_ns', int)
    assert clocks.read_wall() == 0
    assert monotonic() == approx(before, abs=SLEEP)


def test_what_waits_through_a_suspension_is_not_sent_on(tmp_path, suspension):
    async def story(site):
        for host in site.hosts:
            host.target.mood = 'hang'
        asked = site.send(site.hosts[0], '/reads/', 'a', 'GET', deadline=2000)
        sent = asyncio.create_task(asked)
        await asyncio.sleep(0.2)
        runs = len(site.find_runs('a'))
        suspension.seconds = SLEEP
        answer = await sent
        assert answer.code == 504
        assert len(site.find_runs('a')) == runs

    play(tmp_path, story)


def test_a_node_notices_that_it_was_suspended(tmp_path, suspension):
    async def story(site):
        suspension.seconds = SLEEP
        await site.settle(partial_of(site))

    play(tmp_path, story)


def partial_of(site):
    async def has_noticed():
        return all(
            EventCode.PAUSE_NOTICED in list_codes(host) for host in site.hosts
        )

    return has_noticed


def list_codes(host):
    entries = host.node.parts.timeline.select(EVERYTHING)
    return {entry.code for entry in entries}


def play(folder, story):
    async def act():
        async with open_installation(folder, ('refunds', 'refunds')) as site:
            await story(site)

    asyncio.run(act())
