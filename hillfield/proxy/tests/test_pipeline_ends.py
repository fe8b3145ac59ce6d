"""Ends of connections on which requests run side by side."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

import pytest

from hillfield.proxy.tests.gatetarget import (
    open_reads,
    open_with,
    safe,
    start,
    unsafe,
)
from hillfield.routing.requests import CallerGone

HUGE = 3_000_000


async def test_the_end_of_one_answer_takes_none_before_it_back(path):
    gate = await start(path)
    gate.sizes = {b'/a': HUGE, b'/b': HUGE}
    gate.broken = {b'/b'}
    reader, writer = await open_reads(path, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.let_out(b'/b', b'/a')
    assert (await path.read(reader))[1] == gate.body_of(b'/a')
    with pytest.raises(asyncio.IncompleteReadError):
        await path.read(reader)
    await gate.wait_for(lambda: b'/c' in gate.dropped)
    writer.close()


async def test_an_answer_that_breaks_off_in_its_turn_ends_the_connection(path):
    gate = await start(path)
    gate.sizes = {b'/a': HUGE}
    gate.broken = {b'/a'}
    reader, writer = await open_reads(path, b'/a', b'/b')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.let_out(b'/a')
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await path.read(reader)
    await gate.wait_for(lambda: b'/b' in gate.dropped)
    assert CallerGone() in path.dispatching.observations()
    writer.close()


async def test_a_caller_that_leaves_cancels_all(path):
    gate = await start(path)
    _, writer = await open_reads(path, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 3)
    writer.close()
    await gate.wait_for(lambda: len(gate.dropped) == 3)
    observed = path.dispatching.observations()
    assert observed == [CallerGone(), CallerGone(), CallerGone()]
    while path.server.count_connections():
        await asyncio.sleep(0)
    assert not path.server.count_requests()


async def test_what_waits_does_not_run_for_a_caller_that_left(path):
    gate = await start(path)
    asked = safe(b'/a'), unsafe(b'/u'), safe(b'/c')
    _, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: gate.begun)
    writer.close()
    # It is noticed in the sweep, or else at the turn.
    path.server._connections.sweep(asyncio.get_running_loop().time())
    await gate.wait_for(lambda: gate.dropped)
    while path.server.count_connections():
        await asyncio.sleep(0)
    assert gate.begun == [b'/a']


async def test_nothing_follows_a_request_that_closes(path):
    gate = await start(path)
    last = safe(b'/b').replace(b'Host', b'Connection: close\r\nHost')
    asked = safe(b'/a'), last, unsafe(b'/u')
    reader, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: gate.begun)
    gate.let_out(b'/a', b'/b', b'/u')
    assert (await path.read(reader))[1] == b'/a'
    head, body = await path.read(reader)
    assert b'Connection: close\r\n' in head
    assert body == b'/b'
    assert await reader.read() == b''
    assert gate.begun == [b'/a', b'/b']
    writer.close()


async def test_a_malformed_head_is_refused_behind_the_answers(path):
    gate = await start(path)
    bad = b'GET /bad HTTP/1.1\r\nHost : t\r\n\r\n'
    asked = safe(b'/a'), bad, safe(b'/c')
    reader, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: gate.begun)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    head, _ = await path.read(reader)
    assert head.startswith(b'HTTP/1.1 400')
    assert await reader.read() == b''
    assert gate.begun == [b'/a']
    writer.close()


async def test_a_head_that_is_too_large_is_refused_behind_the_answers(path):
    gate = await start(path, head_limit=1000)
    long = safe(b'/b').replace(b'Host', b'X-Long: %s\r\nHost' % (b'l' * 2000))
    asked = safe(b'/a'), long
    reader, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: gate.begun)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    assert (await path.read(reader))[0].startswith(b'HTTP/1.1 431')
    writer.close()


async def test_a_refusal_behind_a_cut_takes_no_answer_back(path):
    gate = await start(path)
    gate.sizes = {b'/a': HUGE, b'/b': HUGE}
    gate.broken = {b'/b'}
    asked = safe(b'/a'), safe(b'/b'), b'GET /bad HTTP/1.1\r\nHost : t\r\n\r\n'
    reader, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.let_out(b'/a', b'/b')
    assert (await path.read(reader))[1] == gate.body_of(b'/a')
    with pytest.raises(asyncio.IncompleteReadError):
        await path.read(reader)
    writer.close()


async def test_a_late_head_is_refused_behind_the_answers(path):
    gate = await start(path, head_timeout=1)
    asked = safe(b'/a'), b'GET /b'
    reader, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: gate.begun)
    now = asyncio.get_running_loop().time()
    path.server._connections.sweep(now)
    path.server._connections.sweep(now + 2)
    path.server._connections.sweep(now + 4)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    assert (await path.read(reader))[0].startswith(b'HTTP/1.1 408')
    assert await reader.read() == b''
    writer.close()


async def test_a_connection_with_work_is_not_idle(path):
    gate = await start(path, idle_timeout=1)
    reader, writer = await open_reads(path, b'/a')
    await gate.wait_for(lambda: gate.begun)
    now = asyncio.get_running_loop().time()
    path.server._connections.sweep(now + 2)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    path.server._connections.sweep(now + 4)
    assert await reader.read() == b''
    writer.close()


async def test_drain_answers_what_was_read(path):
    gate = await start(path, drain_grace=0)
    reader, writer = await open_reads(path, b'/a', b'/b')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.let_out(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    draining = asyncio.create_task(path.server.drain())
    await asyncio.sleep(0)
    writer.write(unsafe(b'/u'))
    gate.let_out(b'/a')
    first = await path.read(reader)
    last = await path.read(reader)
    assert first[1] == b'/a'
    assert b'Connection: close' not in first[0]
    assert last[1] == b'/b'
    assert b'Connection: close\r\n' in last[0]
    assert await reader.read() == b''
    writer.close()
    await draining
    assert b'/u' not in gate.begun


@pytest.mark.parametrize('depth', [1, 4])
async def test_what_came_before_the_end_does_not_run_after_it(path, depth):
    """A caller asks anew for what lay unread behind a broken answer."""
    gate = await start(path, pipeline_depth=depth)
    gate.sizes = {b'/u1': HUGE}
    gate.broken = {b'/u1'}
    asked = unsafe(b'/u1'), unsafe(b'/u2'), safe(b'/c')
    reader, writer = await open_with(path, *asked)
    gate.let_out(b'/u1', b'/u2', b'/c')
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await path.read(reader)
    while path.server.count_connections():
        await asyncio.sleep(0)
    assert gate.begun == [b'/u1']
    assert [head.path for head in path.plans.heads] == ['/u1']
    writer.close()


@pytest.mark.parametrize('depth', [1, 4])
async def test_what_came_of_a_caller_that_left_does_not_run(path, depth):
    gate = await start(path, pipeline_depth=depth)
    _, writer = await open_with(path, unsafe(b'/u1'), unsafe(b'/u2'))
    await gate.wait_for(lambda: gate.begun)
    writer.transport.abort()
    path.server._connections.sweep(asyncio.get_running_loop().time())
    while path.server.count_connections():
        path.server._connections.sweep(asyncio.get_running_loop().time())
        await asyncio.sleep(0)
    assert gate.begun == [b'/u1']
    assert [head.path for head in path.plans.heads] == ['/u1']
