"""Ends of connections with pipelined requests."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

import pytest

from hillfield.proxy.tests.gatedtarget import (
    idempotent_request,
    once_request,
    open_reads,
    open_with,
    start,
)
from hillfield.routing.requests import CallerGone

HUGE = 3_000_000


async def test_broken_answer_keeps_earlier_answers(proxy):
    gate = await start(proxy)
    gate.sizes = {b'/a': HUGE, b'/b': HUGE}
    gate.broken = {b'/b'}
    reader, writer = await open_reads(proxy, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.release(b'/b', b'/a')
    assert (await proxy.read(reader))[1] == gate.body_of(b'/a')
    with pytest.raises(asyncio.IncompleteReadError):
        await proxy.read(reader)
    await gate.wait_for(lambda: b'/c' in gate.dropped)
    writer.close()


async def test_broken_first_answer_ends_the_connection(proxy):
    gate = await start(proxy)
    gate.sizes = {b'/a': HUGE}
    gate.broken = {b'/a'}
    reader, writer = await open_reads(proxy, b'/a', b'/b')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.release(b'/a')
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await proxy.read(reader)
    await gate.wait_for(lambda: b'/b' in gate.dropped)
    assert CallerGone() in proxy.dispatching.observations()
    writer.close()


async def test_caller_disconnect_cancels_all_requests(proxy):
    gate = await start(proxy)
    _, writer = await open_reads(proxy, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 3)
    writer.close()
    await gate.wait_for(lambda: len(gate.dropped) == 3)
    observed = proxy.dispatching.observations()
    assert observed == [CallerGone(), CallerGone(), CallerGone()]
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    assert not proxy.server.count_requests()


async def test_waiting_request_of_disconnected_caller_does_not_run(proxy):
    gate = await start(proxy)
    requests = (
        idempotent_request(b'/a'),
        once_request(b'/u'),
        idempotent_request(b'/c'),
    )
    _, writer = await open_with(proxy, *requests)
    await gate.wait_for(lambda: gate.begun)
    writer.close()
    # The sweep detects it, or else the opening of the next slot.
    proxy.server._connections.sweep(asyncio.get_running_loop().time())
    await gate.wait_for(lambda: gate.dropped)
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    assert gate.begun == [b'/a']


async def test_no_request_runs_after_one_that_closes(proxy):
    gate = await start(proxy)
    last = idempotent_request(b'/b').replace(
        b'Host',
        b'Connection: close\r\nHost',
    )
    requests = idempotent_request(b'/a'), last, once_request(b'/u')
    reader, writer = await open_with(proxy, *requests)
    await gate.wait_for(lambda: gate.begun)
    gate.release(b'/a', b'/b', b'/u')
    assert (await proxy.read(reader))[1] == b'/a'
    head, body = await proxy.read(reader)
    assert b'Connection: close\r\n' in head
    assert body == b'/b'
    assert await reader.read() == b''
    assert gate.begun == [b'/a', b'/b']
    writer.close()


async def test_malformed_head_is_refused_after_earlier_answers(proxy):
    gate = await start(proxy)
    bad = b'GET /bad HTTP/1.1\r\nHost : t\r\n\r\n'
    requests = idempotent_request(b'/a'), bad, idempotent_request(b'/c')
    reader, writer = await open_with(proxy, *requests)
    await gate.wait_for(lambda: gate.begun)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    head, _ = await proxy.read(reader)
    assert head.startswith(b'HTTP/1.1 400')
    assert await reader.read() == b''
    assert gate.begun == [b'/a']
    writer.close()


async def test_oversized_head_is_refused_after_earlier_answers(proxy):
    gate = await start(proxy, head_limit=1000)
    long = idempotent_request(b'/b').replace(
        b'Host',
        b'X-Long: %s\r\nHost' % (b'l' * 2000),
    )
    requests = idempotent_request(b'/a'), long
    reader, writer = await open_with(proxy, *requests)
    await gate.wait_for(lambda: gate.begun)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    assert (await proxy.read(reader))[0].startswith(b'HTTP/1.1 431')
    writer.close()


async def test_refusal_after_broken_answer_keeps_earlier_answers(proxy):
    gate = await start(proxy)
    gate.sizes = {b'/a': HUGE, b'/b': HUGE}
    gate.broken = {b'/b'}
    requests = (
        idempotent_request(b'/a'),
        idempotent_request(b'/b'),
        b'GET /bad HTTP/1.1\r\nHost : t\r\n\r\n',
    )
    reader, writer = await open_with(proxy, *requests)
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.release(b'/a', b'/b')
    assert (await proxy.read(reader))[1] == gate.body_of(b'/a')
    with pytest.raises(asyncio.IncompleteReadError):
        await proxy.read(reader)
    writer.close()


async def test_late_head_is_refused_after_earlier_answers(proxy):
    gate = await start(proxy, head_timeout=1)
    requests = idempotent_request(b'/a'), b'GET /b'
    reader, writer = await open_with(proxy, *requests)
    await gate.wait_for(lambda: gate.begun)
    now = asyncio.get_running_loop().time()
    proxy.server._connections.sweep(now)
    proxy.server._connections.sweep(now + 2)
    proxy.server._connections.sweep(now + 4)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    assert (await proxy.read(reader))[0].startswith(b'HTTP/1.1 408')
    assert await reader.read() == b''
    writer.close()


async def test_connection_with_running_request_is_not_idle(proxy):
    gate = await start(proxy, idle_timeout=1)
    reader, writer = await open_reads(proxy, b'/a')
    await gate.wait_for(lambda: gate.begun)
    now = asyncio.get_running_loop().time()
    proxy.server._connections.sweep(now + 2)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    proxy.server._connections.sweep(now + 4)
    assert await reader.read() == b''
    writer.close()


async def test_drain_answers_requests_already_read(proxy):
    gate = await start(proxy, drain_grace=0)
    reader, writer = await open_reads(proxy, b'/a', b'/b')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.release(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    draining = asyncio.create_task(proxy.server.drain())
    await asyncio.sleep(0)
    writer.write(once_request(b'/u'))
    gate.release(b'/a')
    first = await proxy.read(reader)
    last = await proxy.read(reader)
    assert first[1] == b'/a'
    assert b'Connection: close' not in first[0]
    assert last[1] == b'/b'
    assert b'Connection: close\r\n' in last[0]
    assert await reader.read() == b''
    writer.close()
    await draining
    assert b'/u' not in gate.begun


@pytest.mark.parametrize('depth', [1, 4])
async def test_unread_requests_do_not_run_after_broken_answer(proxy, depth):
    """A caller repeats requests that were unread behind a broken answer."""
    gate = await start(proxy, pipeline_depth=depth)
    gate.sizes = {b'/u1': HUGE}
    gate.broken = {b'/u1'}
    requests = (
        once_request(b'/u1'),
        once_request(b'/u2'),
        idempotent_request(b'/c'),
    )
    reader, writer = await open_with(proxy, *requests)
    gate.release(b'/u1', b'/u2', b'/c')
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await proxy.read(reader)
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    assert gate.begun == [b'/u1']
    assert [head.path for head in proxy.plans.heads] == ['/u1']
    writer.close()


@pytest.mark.parametrize('depth', [1, 4])
async def test_unread_requests_of_disconnected_caller_do_not_run(proxy, depth):
    gate = await start(proxy, pipeline_depth=depth)
    _, writer = await open_with(
        proxy,
        once_request(b'/u1'),
        once_request(b'/u2'),
    )
    await gate.wait_for(lambda: gate.begun)
    writer.transport.abort()
    proxy.server._connections.sweep(asyncio.get_running_loop().time())
    while proxy.server.count_connections():
        proxy.server._connections.sweep(asyncio.get_running_loop().time())
        await asyncio.sleep(0)
    assert gate.begun == [b'/u1']
    assert [head.path for head in proxy.plans.heads] == ['/u1']
