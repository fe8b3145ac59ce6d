"""Requests of one connection side by side, their answers in order."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

from hillfield.proxy.tests.gatetarget import (
    open_reads,
    open_with,
    read_bodies,
    safe,
    settle,
    start,
    unsafe,
)

LARGE = 100_000
HUGE = 3_000_000


async def test_answers_that_come_in_reverse_go_out_in_order(path):
    gate = await start(path)
    names = [b'/a', b'/b', b'/c']
    reader, writer = await open_reads(path, *names)
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.let_out(b'/c')
    await gate.wait_for(lambda: gate.ended == [b'/c'])
    gate.let_out(b'/b')
    await gate.wait_for(lambda: gate.ended == [b'/c', b'/b'])
    gate.let_out(b'/a')
    assert await read_bodies(path, reader, 3) == names
    assert gate.ended == [b'/c', b'/b', b'/a']
    writer.close()


async def test_further_requests_wait_beyond_the_depth(path):
    gate = await start(path, pipeline_depth=2)
    reader, writer = await open_reads(path, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.let_out(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    assert b'/c' not in gate.begun
    gate.let_out(b'/a', b'/c')
    assert await read_bodies(path, reader, 3) == [b'/a', b'/b', b'/c']
    writer.close()


async def test_what_runs_once_begins_behind_the_answers_before_it(path):
    gate = await start(path)
    reader, writer = await open_with(
        path,
        safe(b'/a'),
        safe(b'/b'),
        unsafe(b'/u'),
        safe(b'/c'),
    )
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.let_out(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    assert b'/u' not in gate.begun
    gate.let_out(b'/a')
    assert await read_bodies(path, reader, 2) == [b'/a', b'/b']
    await gate.wait_for(lambda: b'/u' in gate.begun)
    assert b'/c' not in gate.begun
    gate.let_out(b'/u', b'/c')
    assert await read_bodies(path, reader, 2) == [b'/u', b'/c']
    writer.close()


async def test_a_body_waits_for_its_turn(path):
    gate = await start(path)
    body = b'PUT /s HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nx'
    asked = safe(b'/a'), body
    reader, writer = await open_with(path, *asked)
    await gate.wait_for(lambda: gate.begun)
    gate.let_out(b'/a')
    assert await read_bodies(path, reader, 1) == [b'/a']
    await gate.wait_for(lambda: b'/s' in gate.begun)
    gate.let_out(b'/s')
    assert await read_bodies(path, reader, 1) == [b'/s']
    target = path.targets[0]
    assert target.requests[1][1] == b'x'
    writer.close()


async def test_a_refusal_keeps_its_place(path):
    gate = await start(path)
    reader, writer = await open_reads(path, b'/a', b'/x', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 2)
    gate.let_out(b'/c')
    await gate.wait_for(lambda: b'/c' in gate.ended)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    assert (await path.read(reader))[0].startswith(b'HTTP/1.1 429')
    assert (await path.read(reader))[1] == b'/c'
    writer.close()


async def test_a_held_answer_that_breaks_off_becomes_a_failure(path):
    gate = await start(path, answer_hold=0.001)
    gate.chunked = {b'/b'}
    gate.broken = {b'/b'}
    reader, writer = await open_reads(path, b'/a', b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.let_out(b'/b', b'/c')
    while len(path.dispatching.observations()) < 2:
        await asyncio.sleep(0)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    assert (await path.read(reader))[0].startswith(b'HTTP/1.1 50')
    assert (await path.read(reader))[1] == b'/c'
    writer.close()


async def test_a_held_answer_that_is_too_late_becomes_a_failure(path):
    gate = await start(path)
    gate.sizes = {b'/b': LARGE}
    hasty = safe(b'/b').replace(b'Host', b'X-Deadline-Ms: 50\r\nHost')
    asked = safe(b'/a'), hasty, safe(b'/c')
    reader, writer = await open_with(path, *asked)
    gate.let_out(b'/b', b'/c')
    while len(path.dispatching.observations()) < 2:
        await asyncio.sleep(0)
    gate.let_out(b'/a')
    assert (await path.read(reader))[1] == b'/a'
    assert (await path.read(reader))[0].startswith(b'HTTP/1.1 50')
    assert (await path.read(reader))[1] == b'/c'
    writer.close()


async def test_large_answers_pass_in_parts_in_their_order(path):
    gate = await start(path)
    gate.sizes = {b'/a': HUGE, b'/b': HUGE, b'/c': LARGE}
    names = [b'/a', b'/b', b'/c']
    reader, writer = await open_reads(path, *names)
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.let_out(b'/c', b'/b')
    gate.let_out(b'/a')
    got = await read_bodies(path, reader, 3)
    assert got == [gate.body_of(name) for name in names]
    writer.close()


async def test_a_caller_that_does_not_read_is_read_no_further(path):
    gate = await start(path, held_answer=1000)
    gate.sizes = {b'/b': 300, b'/c': 300}
    names = [b'/a', b'/b', b'/c', b'/d', b'/e']
    reader, writer = await open_reads(path, *names[:3])
    await gate.wait_for(lambda: len(gate.begun) == 3)
    gate.let_out(b'/b', b'/c')
    await gate.wait_for(lambda: len(gate.ended) == 2)
    while len(path.dispatching.observations()) < 2:
        await asyncio.sleep(0)
    writer.write(safe(b'/d') + safe(b'/e'))
    gate.let_out(b'/d', b'/e')
    await settle()
    assert b'/e' not in gate.begun
    gate.let_out(b'/a')
    got = await read_bodies(path, reader, 5)
    assert got == [gate.body_of(name) for name in names]
    writer.close()


async def test_only_the_next_answer_shows_signs(path):
    gate = await start(path, sign_after=0.01)
    reader, writer = await open_reads(path, b'/a', b'/b')
    sign = await reader.readuntil(b'\r\n\r\n')
    assert sign.startswith(b'HTTP/1.1 102')
    gate.let_out(b'/b')
    await gate.wait_for(lambda: b'/b' in gate.ended)
    gate.let_out(b'/a')
    assert await read_bodies(path, reader, 2) == [b'/a', b'/b']
    writer.close()
