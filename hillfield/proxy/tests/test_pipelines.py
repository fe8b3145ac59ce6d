"""Pipelined requests that run concurrently and are answered in order."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

from hillfield.proxy.tests.gatedtarget import (
    idempotent_request,
    once_request,
    open_reads,
    open_with,
    read_bodies,
    run_pending,
    start,
)

LARGE = 100_000
HUGE = 3_000_000


async def test_answers_in_reverse_order_are_sent_in_order(proxy):
    gate = await start(proxy)
    names = [b'/a', b'/b', b'/c']
    reader, writer = await open_reads(proxy, *names)
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.release(b'/c')
    await gate.wait_for(lambda: gate.ended == [b'/c'])
    gate.release(b'/b')
    await gate.wait_for(lambda: gate.ended == [b'/c', b'/b'])
    gate.release(b'/a')
    assert await read_bodies(proxy, reader, 3) == names
    assert gate.ended == [b'/c', b'/b', b'/a']
    writer.close()


async def test_requests_beyond_the_depth_wait(proxy):
    gate = await start(proxy, pipeline_depth=2)
    reader, writer = await open_reads(proxy, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.release(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    assert b'/c' not in gate.begun
    gate.release(b'/a', b'/c')
    assert await read_bodies(proxy, reader, 3) == [b'/a', b'/b', b'/c']
    writer.close()


async def test_once_request_begins_after_earlier_answers(proxy):
    gate = await start(proxy)
    reader, writer = await open_with(
        proxy,
        idempotent_request(b'/a'),
        idempotent_request(b'/b'),
        once_request(b'/u'),
        idempotent_request(b'/c'),
    )
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.release(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    assert b'/u' not in gate.begun
    gate.release(b'/a')
    assert await read_bodies(proxy, reader, 2) == [b'/a', b'/b']
    await gate.wait_for(lambda: b'/u' in gate.begun)
    assert b'/c' not in gate.begun
    gate.release(b'/u', b'/c')
    assert await read_bodies(proxy, reader, 2) == [b'/u', b'/c']
    writer.close()


async def test_request_with_body_waits_for_earlier_answers(proxy):
    gate = await start(proxy)
    body = b'PUT /s HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nx'
    pipelined = idempotent_request(b'/a'), body
    reader, writer = await open_with(proxy, *pipelined)
    await gate.wait_for(lambda: gate.begun)
    gate.release(b'/a')
    assert await read_bodies(proxy, reader, 1) == [b'/a']
    await gate.wait_for(lambda: b'/s' in gate.begun)
    gate.release(b'/s')
    assert await read_bodies(proxy, reader, 1) == [b'/s']
    target = proxy.targets[0]
    assert target.requests[1][1] == b'x'
    writer.close()


async def test_refusal_is_sent_in_order(proxy):
    gate = await start(proxy)
    reader, writer = await open_reads(proxy, b'/a', b'/x', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.release(b'/c')
    await gate.wait_for(lambda: b'/c' in gate.ended)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    assert (await proxy.read(reader))[0].startswith(b'HTTP/1.1 429')
    assert (await proxy.read(reader))[1] == b'/c'
    writer.close()


async def test_buffered_answer_that_breaks_becomes_a_failure(proxy):
    gate = await start(proxy, answer_hold=0.001)
    gate.chunked = {b'/b'}
    gate.broken = {b'/b'}
    reader, writer = await open_reads(proxy, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.release(b'/b', b'/c')
    while len(proxy.dispatching.observations()) < 2:
        await asyncio.sleep(0)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    assert (await proxy.read(reader))[0].startswith(b'HTTP/1.1 50')
    assert (await proxy.read(reader))[1] == b'/c'
    writer.close()


async def test_buffered_answer_beyond_its_deadline_becomes_a_failure(proxy):
    gate = await start(proxy)
    gate.sizes = {b'/b': LARGE}
    short_deadline = idempotent_request(b'/b').replace(
        b'Host',
        b'X-Deadline-Ms: 50\r\nHost',
    )
    requests = (
        idempotent_request(b'/a'),
        short_deadline,
        idempotent_request(b'/c'),
    )
    reader, writer = await open_with(proxy, *requests)
    gate.release(b'/b', b'/c')
    while len(proxy.dispatching.observations()) < 2:
        await asyncio.sleep(0)
    gate.release(b'/a')
    assert (await proxy.read(reader))[1] == b'/a'
    assert (await proxy.read(reader))[0].startswith(b'HTTP/1.1 50')
    assert (await proxy.read(reader))[1] == b'/c'
    writer.close()


async def test_large_answers_are_forwarded_in_parts_in_order(proxy):
    gate = await start(proxy)
    gate.sizes = {b'/a': HUGE, b'/b': HUGE, b'/c': LARGE}
    names = [b'/a', b'/b', b'/c']
    reader, writer = await open_reads(proxy, *names)
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.release(b'/c', b'/b')
    gate.release(b'/a')
    bodies = await read_bodies(proxy, reader, 3)
    assert bodies == [gate.body_of(name) for name in names]
    writer.close()


async def test_no_requests_are_read_while_answers_fill_the_buffer(proxy):
    gate = await start(proxy, held_answer=1000)
    gate.sizes = {b'/b': 300, b'/c': 300}
    names = [b'/a', b'/b', b'/c', b'/d', b'/e']
    reader, writer = await open_reads(proxy, *names[:3])
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.release(b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.ended) == 2)
    while len(proxy.dispatching.observations()) < 2:
        await asyncio.sleep(0)
    writer.write(idempotent_request(b'/d') + idempotent_request(b'/e'))
    gate.release(b'/d', b'/e')
    await run_pending()
    assert b'/e' not in gate.begun
    gate.release(b'/a')
    bodies = await read_bodies(proxy, reader, 5)
    assert bodies == [gate.body_of(name) for name in names]
    writer.close()


async def test_only_the_next_answer_sends_keepalives(proxy):
    gate = await start(proxy, keepalive_after=0.01)
    reader, writer = await open_reads(proxy, b'/a', b'/b')
    interim = await reader.readuntil(b'\r\n\r\n')
    assert interim.startswith(b'HTTP/1.1 102')
    gate.release(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    gate.release(b'/a')
    assert await read_bodies(proxy, reader, 2) == [b'/a', b'/b']
    writer.close()
