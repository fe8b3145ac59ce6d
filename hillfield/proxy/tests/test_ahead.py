"""Reads that come behind another on their connection."""

# Tests are untyped, so are the functions that they share.
# mypy: disable-error-code="no-untyped-call"

import asyncio
from typing import Any

from msgspec.structs import replace

from hillfield.configuration.serving.request_failures import refuse_route
from hillfield.model import RequestPlan
from hillfield.routing.requests import CallerGone

AGAIN = RequestPlan('till', 'all', 'baker', idempotent=True, deadline=5)


async def wait_until(condition):
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.001)


async def stall(head, body, reader, writer):
    await reader.read()
    raise ConnectionError


def read_get(name, more=b''):
    return b'GET /%s HTTP/1.1\r\nHost: t\r\n%s\r\n' % (name, more)


def answer_slowly(order):
    """Answer each path after as many steps as its place tells."""

    async def answer(head, body, reader, writer):  # noqa: WPS430 a script
        name = head.split(b' ')[1][1:]
        await asyncio.sleep(0.06 * order.index(name))
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%s' % name,
        )
        await writer.drain()
        return True

    return answer


THREE = read_get(b'a') + read_get(b'b') + read_get(b'c')


async def read_bodies(path, reader, count):
    answers: list[Any] = []
    while len(answers) < count:
        answers.append(await path.read(reader))
    return [body for _, body in answers]


async def test_pipelined_reads_run_side_by_side_and_answer_in_order(path):
    path.plans.plan = AGAIN
    target = await path.start(answer_slowly([b'c', b'b', b'a']))
    reader, writer = await path.open()
    writer.write(THREE)
    await wait_until(lambda: len(target.requests) == 3)
    assert await read_bodies(path, reader, 3) == [b'a', b'b', b'c']
    # The connection goes on.
    writer.write(read_get(b'c'))
    assert await read_bodies(path, reader, 1) == [b'c']
    writer.close()


async def test_reads_that_come_while_one_is_answered_begin_at_once(path):
    path.plans.plan = AGAIN
    target = await path.start(answer_slowly([b'c', b'b', b'a']))
    reader, writer = await path.open()
    writer.write(read_get(b'a'))
    await wait_until(lambda: len(target.requests) == 1)
    writer.write(read_get(b'b')[:9])
    await asyncio.sleep(0.01)
    writer.write(read_get(b'b')[9:] + read_get(b'c'))
    await wait_until(lambda: len(target.requests) == 3)
    assert await read_bodies(path, reader, 3) == [b'a', b'b', b'c']
    writer.close()


async def test_work_that_runs_once_waits_for_its_turn(path):
    path.plans.plan = replace(AGAIN, idempotent=False)
    target = await path.start(answer_slowly([b'c', b'b', b'a']))
    reader, writer = await path.open()
    writer.write(read_get(b'a') + read_get(b'b'))
    await wait_until(lambda: len(target.requests) == 1)
    await asyncio.sleep(0.04)
    assert len(target.requests) == 1
    assert await read_bodies(path, reader, 2) == [b'a', b'b']
    writer.close()


async def test_a_write_ends_what_begins_ahead(path):
    path.plans.plan = AGAIN
    target = await path.start(answer_slowly([b'c', b'b', b'a']))
    reader, writer = await path.open()
    post = b'POST /b HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nx'
    writer.write(read_get(b'a') + post + read_get(b'c'))
    await wait_until(lambda: len(target.requests) == 1)
    await asyncio.sleep(0.04)
    assert len(target.requests) == 1
    assert await read_bodies(path, reader, 3) == [b'a', b'b', b'c']
    writer.close()


async def test_no_more_begin_ahead_than_are_allowed(path):
    path.plans.plan = AGAIN
    names = [b'%d' % number for number in range(9, -1, -1)]
    target = await path.start(answer_slowly(names), ahead_limit=2)
    reader, writer = await path.open()
    writer.write(b''.join(map(read_get, sorted(names))))
    await wait_until(lambda: len(target.requests) == 3)
    await asyncio.sleep(0.04)
    assert len(target.requests) == 3
    writer.close()


async def test_a_caller_that_leaves_cancels_all_that_has_begun(path):
    path.plans.plan = AGAIN
    target = await path.start(stall)
    reader, writer = await path.open()
    writer.write(read_get(b'a') + read_get(b'b'))
    await wait_until(lambda: len(target.requests) == 2)
    writer.close()
    await wait_until(lambda: len(path.dispatching.observations()) == 2)
    assert set(path.dispatching.observations()) == {CallerGone()}


async def test_a_node_that_drains_answers_all_that_has_begun(path):
    path.plans.plan = AGAIN
    target = await path.start(answer_slowly([b'c', b'b', b'a']))
    reader, writer = await path.open()
    writer.write(THREE)
    await wait_until(lambda: len(target.requests) == 3)
    draining = asyncio.create_task(path.server.drain())
    assert await read_bodies(path, reader, 2) == [b'a', b'b']
    head, body = await path.read(reader)
    assert body == b'c'
    assert b'Connection: close' in head
    await draining
    assert not await reader.read()


async def test_a_refused_read_answers_in_its_turn(path):
    path.plans.plan = AGAIN
    target = await path.start(answer_slowly([b'b', b'a']))
    reader, writer = await path.open()
    writer.write(read_get(b'a'))
    await wait_until(lambda: len(target.requests) == 1)
    path.plans.failure = refuse_route('/b')
    writer.write(read_get(b'b'))
    assert await read_bodies(path, reader, 1) == [b'a']
    head, _ = await path.read(reader)
    assert b' 404 ' in head
    writer.close()
