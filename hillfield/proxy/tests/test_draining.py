"""Requests that come late in the drain of a server."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call"

import asyncio
from contextlib import asynccontextmanager
from types import MappingProxyType

from expression import Ok

from hillfield.events import EventCode
from hillfield.model import RequestPlan
from hillfield.proxy.tests.gatedtarget import once_request, start

AIM = 0.5
LONG = 30
NOT_RUN = b'Hillfield-Outcome: not-run\r\n'
# Seconds: idle connections end early in this drain, and its end is far off.
EARLY = MappingProxyType({'drain_grace': 0.05, 'drain_timeout': 5})
# Seconds: less than the aim is left of this drain from the start.
SHORT = MappingProxyType({'drain_grace': 0.3, 'drain_timeout': 0.4})


class OncePlans:
    """Plans of requests that run once, for a given time."""

    def __init__(self, deadline):
        self.deadline = deadline

    def resolve(self, head):
        return Ok(
            RequestPlan('till', 'all', 'baker', False, self.deadline, aim=AIM),
        )


@asynccontextmanager
async def drain_around(proxy, deadline=LONG, **settings):
    """Yield a target and a connection that was in use when a drain began."""
    target = await start(proxy, **settings)
    proxy.server._context.plans = OncePlans(deadline)
    reader, writer = await proxy.open()
    # A part of a head keeps the connection from being idle.
    writer.write(once_request(b'/late')[:8])
    await asyncio.sleep(0.02)
    draining = asyncio.create_task(proxy.server.drain())
    yield target, reader, writer
    writer.close()
    await draining


async def test_a_request_after_the_last_read_of_a_stop_is_refused_unsent(proxy):
    # Guards against work that is taken late in a stop and cut at its end.
    async with drain_around(proxy, **EARLY) as (target, reader, writer):
        await asyncio.sleep(0.1)
        writer.write(once_request(b'/late')[8:])
        head, _ = await proxy.read(reader)
        assert b' 503 ' in head
        assert NOT_RUN in head
        assert b'Retry-After: ' in head
        assert b'Connection: close\r\n' in head
        assert not target.begun
        assert EventCode.REQUEST_TOO_LATE_IN_STOP in proxy.codes()


async def test_a_late_request_whose_own_deadline_comes_first_is_served(proxy):
    # Guards against refusals in a stop of what can still be served.
    async with drain_around(proxy, 2, **EARLY) as (target, reader, writer):
        await asyncio.sleep(0.1)
        writer.write(once_request(b'/late')[8:])
        target.release(b'/late')
        head, _ = await proxy.read(reader)
        assert b' 200 ' in head


async def test_a_request_read_in_time_is_served_until_the_stop_ends(proxy):
    # Guards against refusals in a stop of what has arrived in time.
    async with drain_around(proxy, drain_grace=1, drain_timeout=5) as story:
        target, reader, writer = story
        writer.write(once_request(b'/late')[8:])
        await target.wait_for(lambda: target.begun)
        await asyncio.sleep(1.1)
        target.release(b'/late')
        head, _ = await proxy.read(reader)
        assert b' 200 ' in head


async def test_a_request_that_no_answer_can_reach_in_a_stop_is_not_sent(proxy):
    # Guards against work that is begun just before a stop cuts it.
    async with drain_around(proxy, **SHORT) as (target, reader, writer):
        writer.write(once_request(b'/late')[8:])
        head, _ = await proxy.read(reader)
        assert b' 503 ' in head
        assert NOT_RUN in head
        assert not target.begun


async def test_a_queued_request_that_a_stop_leaves_no_time_is_refused(proxy):
    # Guards against requests held to the end of a stop that can't serve them.
    proxy.dispatching.queueing = True
    settings = {'drain_grace': 0.3, 'drain_timeout': 1.2}
    async with drain_around(proxy, **settings) as (target, reader, writer):
        writer.write(once_request(b'/late')[8:])
        async with asyncio.timeout(1):
            head, _ = await proxy.read(reader)
        assert b' 503 ' in head
        assert NOT_RUN in head
        assert not target.begun
        assert proxy.dispatching.calls[-1][0] == 'leave'


async def test_a_stop_that_ends_requests_says_how_many(proxy):
    # Guards against logs that tell a stop's end as a deadline.
    settings = {'drain_grace': 0.1, 'drain_timeout': 0.6}
    async with drain_around(proxy, **settings) as (target, reader, writer):
        writer.write(once_request(b'/late')[8:])
        await target.wait_for(lambda: target.begun)
        head, _ = await proxy.read(reader)
        assert b'Hillfield-Outcome: unknown\r\n' in head
        assert EventCode.DRAIN_OVERRUN in proxy.codes()
