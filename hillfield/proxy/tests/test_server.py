"""Requests through real sockets."""

import asyncio
import gc

import pytest
from msgspec.structs import replace

from hillfield.proxy.exchanges import Exchange
from hillfield.proxy.tests.gatedtarget import read_bodies
from hillfield.routing.requests import Answered

GET = b'GET /fees?x=1 HTTP/1.1\r\nHost: till\r\n\r\n'
POST = b'POST /c HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbody'


async def test_answer_and_order_of_reports(proxy):
    target = await proxy.start()
    head, body = await proxy.ask(GET)
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert body == b'ok'
    assert target.requests[0][0].startswith(b'GET /fees?x=1 HTTP/1.1')
    names = [entry[0] for entry in proxy.dispatching.calls]
    assert names == ['admit', 'written', 'head', 'finish']
    assert proxy.dispatching.observations() == [Answered(200)]
    assert proxy.server.count_requests() == 0


async def test_forwarded_headers(proxy):
    target = await proxy.start(
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Own: 1\r\n'
        b'Hillfield-Outcome: not-run\r\nConnection: X-Hop\r\n'
        b'X-Hop: 2\r\n\r\n',
    )
    head, _ = await proxy.ask(
        b'GET / HTTP/1.1\r\nHost: t\r\nConnection: x-gone, keep-alive\r\n'
        b'X-Gone: 1\r\nTE: trailers\r\nHillfield-Account: thief\r\n'
        b'Authorization: Basic YmFrZXI6c2VjcmV0\r\nX-Stays: 3\r\n'
        b'X-Request-Id: till-7\r\nX-Deadline-Ms: 900\r\n\r\n',
    )
    sent = target.requests[0][0]
    assert b'X-Gone' not in sent
    assert b'Te:' not in sent
    assert b'Authorization' not in sent
    assert b'thief' not in sent
    assert b'Hillfield-Account: baker\r\n' in sent
    assert b'X-Stays: 3\r\n' in sent
    assert b'Via: 1.1 hillfield\r\n' in sent
    assert b'X-Request-Id: till-7\r\n' in sent
    given = sent.split(b'X-Deadline-Ms: ')[1].split(b'\r\n')[0]
    assert 0 < int(given) <= 900
    assert b'X-Own: 1\r\n' in head
    assert b'X-Hop' not in head
    assert b'Hillfield' not in head
    assert b'X-Request-Id: till-7\r\n' in head
    assert proxy.plans.heads[0].secret == 'secret'


async def test_keep_alive_uses_one_connection_each_way(proxy):
    target = await proxy.start()
    reader, writer = await proxy.open()
    answers: list[bytes] = []
    while len(answers) < 3:
        writer.write(POST)
        answers.append((await proxy.read(reader))[1])
    assert target.connections == 1
    assert [body for _, body in target.requests] == [b'body', b'body', b'body']
    writer.close()


async def test_refusal_of_a_request_without_body_keeps_the_connection(proxy):
    await proxy.start()
    reader, writer = await proxy.open()
    bad = b'GET / HTTP/1.1\r\nHost: t\r\nX-Deadline-Ms: -1\r\n\r\n'
    writer.write(b'%s%s' % (bad, GET))
    head, body = await proxy.read(reader)
    assert head.startswith(b'HTTP/1.1 400')
    assert b'"outcome":"not-run"' in body
    assert (await proxy.read(reader))[1] == b'ok'
    writer.close()


async def test_caller_that_wants_its_connection_closed(proxy):
    await proxy.start()
    closing = GET.replace(b'Host', b'Connection: close\r\nHost')
    answer = await proxy.ask(closing, end=False)
    assert b'Connection: close\r\n' in answer
    assert answer.endswith(b'\r\n\r\nok')


@pytest.fixture
def no_collection():
    """Disable the garbage collector during a test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def list_exchanges():
    return [
        exchange
        for exchange in gc.get_objects()
        if isinstance(exchange, Exchange)
    ]


async def test_requests_leave_no_garbage(proxy, no_collection):
    """Only these requests count, not those of earlier tests.

    Exchanges of another file's tests were found here: timers of their event
    loops referenced them, and no collection freed them.
    """
    earlier = list_exchanges()
    target = await proxy.start()
    await proxy.ask(POST)
    await proxy.ask(POST)
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    assert len(target.requests) == 2
    left = [
        exchange
        for exchange in list_exchanges()
        if not any(exchange is known for known in earlier)
    ]
    assert not left


async def test_pipelined_requests_leave_no_garbage(proxy, no_collection):
    await proxy.start()
    proxy.plans.plan = replace(proxy.plans.plan, idempotent=True, aim=1)
    reader, writer = await proxy.open()
    writer.write(GET + GET + GET)
    bodies = await read_bodies(proxy, reader, 3)
    assert bodies == [b'ok', b'ok', b'ok']
    writer.close()
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    left = [
        exchange
        for exchange in gc.get_objects()
        if isinstance(exchange, Exchange)
    ]
    assert not left
