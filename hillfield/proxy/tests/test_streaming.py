"""Streamed bodies, concurrent requests, and draining."""

# The tests and their shared functions are untyped.
# mypy: disable-error-code="no-untyped-call"

import asyncio

import pytest

from hillfield.events import EventCode
from hillfield.model import RequestPlan
from hillfield.routing.requests import Answered, Broken, CallerGone

GET = b'GET /fees HTTP/1.1\r\nHost: till\r\n\r\n'
BLOCK = b'0123456789abcdef' * 4096
BLOCKS = 16
LAST = b'0\r\n\r\n'
CHUNKED_POST = (
    b'POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LARGE_BODY = BLOCK * BLOCKS
LARGE_POST = b'POST / HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n\r\n' % (
    len(LARGE_BODY)
)


async def echo(head, body, reader, writer):
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body))
    writer.write(body)
    await writer.drain()
    return True


async def echo_delayed(head, body, reader, writer):
    """Answer later requests sooner, each with its own path."""
    url_path = head.split()[1]
    number = int(url_path[1:])
    await asyncio.sleep((20 - number) / 400)
    return await echo(head, url_path, reader, writer)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def send_bytes(writer, raw):
    position = 0
    while position < len(raw):
        writer.write(raw[position : position + 1])
        await asyncio.sleep(0)
        position += 1


async def echo_bytewise(head, body, reader, writer):
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    await send_bytes(writer, b'%s%s' % (head, body))
    return True


async def stall_reading(reader, writer):
    await asyncio.Event().wait()


async def refuse_early(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno')
    await reader.read()


async def abort_connection(reader, writer):
    await reader.readexactly(200)
    writer.transport.abort()


async def write_blocks(writer, head, blocks):
    """Write far more than all buffers on the path can hold."""
    writer.write(head)
    while blocks:
        writer.write(BLOCK)
        await writer.drain()
        blocks -= 1


def chunk(part):
    return b'%x\r\n%s\r\n' % (len(part), part)


async def test_large_body_both_ways_by_length(proxy):
    target = await proxy.start(echo)
    _, body = await proxy.ask(LARGE_POST + LARGE_BODY)
    assert body == LARGE_BODY
    assert target.requests[0][1] == LARGE_BODY
    _, arrival = proxy.dispatching.calls[0]
    assert not arrival.replayable


async def test_large_body_both_ways_in_chunks(proxy):
    target = await proxy.start(echo)
    parts = [chunk(BLOCK) for _ in range(BLOCKS)]
    raw = b''.join((CHUNKED_POST, *parts, LAST))
    _, body = await proxy.ask(raw)
    head, sent = target.requests[0]
    assert body == LARGE_BODY
    assert sent == LARGE_BODY
    assert b'chunked' in head


async def test_small_chunked_body_is_buffered_and_sent_with_its_length(
    proxy,
):
    target = await proxy.start(echo)
    raw = b''.join((CHUNKED_POST, chunk(b'a'), LAST))
    _, body = await proxy.ask(raw)
    assert body == b'a'
    assert b'Content-Length: 1\r\n' in target.requests[0][0]
    _, arrival = proxy.dispatching.calls[0]
    assert arrival.replayable


async def test_stalled_target_stalls_the_caller(proxy):
    target = await proxy.start()
    target.serve_all = stall_reading
    _, writer = await proxy.open()
    writer.transport.set_write_buffer_limits(0)
    sent = asyncio.create_task(write_blocks(writer, LARGE_POST, 1000))
    done, _ = await asyncio.wait([sent], timeout=0.3)
    assert not done
    sent.cancel()
    writer.close()


async def test_chunked_delete_over_the_limit_needs_a_length(proxy):
    await proxy.start(echo)
    head = CHUNKED_POST.replace(b'POST', b'DELETE')
    raw = b''.join((head, chunk(BLOCK), chunk(BLOCK)))
    answer = await proxy.ask(raw, end=False)
    assert answer.startswith(b'HTTP/1.1 411')
    assert not proxy.dispatching.calls


async def test_early_answer_reaches_the_caller(proxy):
    target = await proxy.start()
    target.serve_all = refuse_early
    reader, writer = await proxy.open()
    writer.write(LARGE_POST + BLOCK + BLOCK)
    head, body = await proxy.read(reader)
    assert head.startswith(b'HTTP/1.1 413')
    assert b'Connection: close\r\n' in head
    assert body == b'no'
    assert proxy.dispatching.observations() == [Answered(413)]
    writer.close()


async def test_caller_that_disconnects_within_its_body_is_cancelled(proxy):
    target = await proxy.start()
    _, writer = await proxy.open()
    writer.write(LARGE_POST + BLOCK + BLOCK)
    await wait_until(lambda: target.connections)
    writer.close()
    await target.closed.wait()
    assert proxy.dispatching.observations() == [CallerGone()]


async def test_bad_chunk_in_a_streamed_body_is_unknown(proxy):
    target = await proxy.start()
    raw = b''.join((CHUNKED_POST, chunk(BLOCK), chunk(BLOCK), b'zz\r\n'))
    answer = await proxy.ask(raw, end=False)
    assert answer.startswith(b'HTTP/1.1 400')
    assert b'Hillfield-Outcome: unknown\r\n' in answer
    await target.closed.wait()
    assert not target.requests


async def test_each_caller_gets_its_own_answer(proxy):
    target = await proxy.start(echo_delayed)
    asking = [
        proxy.ask(b'GET /%d HTTP/1.1\r\nHost: t\r\n\r\n' % number)
        for number in range(20)
    ]
    answers = await asyncio.gather(*asking)
    bodies = [body for _, body in answers]
    assert bodies == [b'/%d' % number for number in range(20)]
    assert target.connections == 20


async def test_pipelined_requests_are_answered_in_order(proxy):
    await proxy.start(echo_delayed)
    reader, writer = await proxy.open()
    requests = [
        b'GET /%d HTTP/1.1\r\nHost: t\r\n\r\n' % number for number in (1, 15, 7)
    ]
    writer.write(b''.join(requests))
    assert (await proxy.read(reader))[1] == b'/1'
    assert (await proxy.read(reader))[1] == b'/15'
    assert (await proxy.read(reader))[1] == b'/7'
    writer.close()


async def test_head_and_bodiless_answers(proxy):
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'
    bodiless = b'HTTP/1.1 204 None\r\n\r\n', b'HTTP/1.1 304 Same\r\n\r\n'
    await proxy.start(raw)
    reader, writer = await proxy.open()
    writer.write(GET.replace(b'GET', b'HEAD'))
    assert b'Content-Length: 9\r\n' in await reader.readuntil(b'\r\n\r\n')
    proxy.targets[0].answer = bodiless[0]
    writer.write(GET)
    assert b' 204 ' in await reader.readuntil(b'\r\n\r\n')
    proxy.targets[0].answer = bodiless[1]
    writer.write(GET)
    assert b' 304 ' in await reader.readuntil(b'\r\n\r\n')
    proxy.targets[0].answer = echo
    writer.write(GET)
    assert (await proxy.read(reader))[1] == b''
    writer.close()


async def test_continue_is_sent_before_the_body(proxy):
    await proxy.start(echo)
    reader, writer = await proxy.open()
    writer.write(
        b'POST / HTTP/1.1\r\nHost: t\r\nExpect: 100-continue\r\n'
        b'Content-Length: 1\r\n\r\n',
    )
    assert (await reader.readuntil(b'\r\n\r\n')).startswith(b'HTTP/1.1 100')
    writer.write(b'a')
    assert (await proxy.read(reader))[1] == b'a'
    writer.close()


@pytest.mark.parametrize('keep', [b'', b'Connection: keep-alive\r\n'])
async def test_caller_of_old_http_version(proxy, keep):
    await proxy.start(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nab\r\n0\r\n\r\n',
    )
    answer = await proxy.ask(b'GET / HTTP/1.0\r\n%s\r\n' % keep, end=False)
    assert b'chunked' not in answer
    assert answer.endswith(b'\r\n\r\nab')


HUGE = BLOCK * 128
HUGE_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    len(HUGE),
    HUGE,
)


async def ask_and_pause(proxy, **settings):
    """Request more than the kernel buffers, and read nothing of it yet."""
    await proxy.start(HUGE_ANSWER, held_answer=len(HUGE), **settings)
    reader, writer = await proxy.open()
    writer.transport.pause_reading()
    writer.write(GET.replace(b'Host', b'Connection: close\r\nHost'))
    await wait_until(proxy.dispatching.observations)
    return reader, writer


async def test_pipelined_requests_wait_for_a_slow_reader(proxy):
    target = await proxy.start(HUGE_ANSWER, held_answer=len(HUGE))
    reader, writer = await proxy.open()
    writer.transport.pause_reading()
    writer.write(GET + GET)
    await wait_until(proxy.dispatching.observations)
    await asyncio.sleep(0.1)
    assert len(target.requests) == 1
    writer.transport.resume_reading()
    assert (await proxy.read(reader))[1] == HUGE
    assert (await proxy.read(reader))[1] == HUGE
    writer.close()


async def test_messages_that_arrive_byte_by_byte(proxy):
    await proxy.start(echo_bytewise)
    reader, writer = await proxy.open()
    raw = b''.join((CHUNKED_POST, chunk(b'body'), LAST))
    await send_bytes(writer, raw)
    assert (await proxy.read(reader))[1] == b'body'
    await send_bytes(writer, raw)
    assert (await proxy.read(reader))[1] == b'body'
    writer.close()


async def test_slow_reader_gets_the_complete_answer(proxy):
    reader, writer = await ask_and_pause(proxy)
    await asyncio.sleep(0.2)
    writer.transport.resume_reading()
    assert (await proxy.read(reader))[1] == HUGE
    writer.close()


async def test_stalled_reader_is_disconnected(proxy):
    reader, writer = await ask_and_pause(proxy, idle_timeout=0.01)
    await wait_until(lambda: not proxy.server.count_connections())
    writer.transport.resume_reading()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await proxy.read(reader)
    writer.close()


async def test_connection_limit(proxy):
    await proxy.start(connection_limit=1)
    reader, writer = await proxy.open()
    writer.write(GET)
    await proxy.read(reader)
    answer = await proxy.ask(GET, end=False)
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Outcome: not-run\r\n' in answer
    assert b'Retry-After: 1\r\n' in answer
    assert EventCode.CONNECTIONS_EXHAUSTED in proxy.codes()
    writer.write(GET)
    assert (await proxy.read(reader))[1] == b'ok'
    writer.close()


async def test_drain_completes_running_requests(proxy):
    proxy.plans.plan = RequestPlan('till', 'all', 'baker', False, 5)
    target = await proxy.start(echo_delayed)
    _, idle = await proxy.open()
    asking = asyncio.create_task(
        proxy.ask(b'GET /10 HTTP/1.1\r\nHost: t\r\n\r\n'),
    )
    await target.received.wait()
    await proxy.server.drain()
    head, body = await asking
    assert body == b'/10'
    assert b'Connection: close\r\n' in head
    with pytest.raises(ConnectionError):
        await proxy.open()
    assert proxy.server.count_connections() == 0
    idle.close()


async def test_drain_serves_requests_on_open_connections(proxy):
    await proxy.start(drain_grace=10)
    reader, writer = await proxy.open()
    writer.write(GET)
    await proxy.read(reader)
    draining = asyncio.create_task(proxy.server.drain())
    await asyncio.sleep(0)
    writer.write(GET)
    head, body = await proxy.read(reader)
    assert b'Connection: close\r\n' in head
    assert body == b'ok'
    writer.close()
    await draining


async def test_retired_target_keeps_no_idle_connection(proxy):
    target = await proxy.start()
    await proxy.ask(GET)
    proxy.server.retire(proxy.dispatching.send('any', 0).target)
    await target.closed.wait()


async def test_broken_upload_is_broken(proxy):
    target = await proxy.start()
    target.serve_all = abort_connection
    answer = await proxy.ask(LARGE_POST + LARGE_BODY)
    assert b'Hillfield-Outcome: unknown\r\n' in answer[0]
    assert isinstance(proxy.dispatching.only_observation(), Broken)
