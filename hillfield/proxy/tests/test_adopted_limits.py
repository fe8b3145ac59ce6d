"""Limits that change while connections are open."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call"

import asyncio

from pytest import mark

LOW = 16384
HIGH = 65536
BETWEEN = 30000
# Bytes of a request: within its head, and within the long part of it.
START = 20
HALF = BETWEEN // 2
LARGER_THAN_A_BUFFER = 400_000
SECONDS = (10, 60)
SMALL = b'POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nx'
LONG_BODY = (
    b'POST /b HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n\r\n' % BETWEEN
) + BETWEEN * b'x'
CHUNKED_BODY = (
    b'POST /b HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'%x\r\n%s\r\n0\r\n\r\n' % (BETWEEN, BETWEEN * b'x')
)
LONG_HEAD = b'GET /b HTTP/1.1\r\nHost: t\r\nX-Long: %s\r\n\r\n' % (
    BETWEEN * b'x'
)


def adopt(proxy, head=LOW, body=LOW):
    proxy.server.adopt_limits(head, body, *SECONDS)


async def open_kept(proxy):
    """Return a connection that has been used and is idle."""
    reader, writer = await proxy.open()
    writer.write(SMALL)
    assert b' 200 ' in (await proxy.read(reader))[0]
    return reader, writer


async def send_part(writer, part):
    """Send bytes and let the server read them."""
    writer.write(part)
    await asyncio.sleep(0.02)


async def ask(proxy, reader, writer, raw):
    """Send the rest of a request; return the status of its answer."""
    writer.write(raw)
    head, _ = await proxy.read(reader)
    writer.close()
    return head.split(b' ')[1]


@mark.parametrize('raw', [LONG_BODY, CHUNKED_BODY, LONG_HEAD])
async def test_raised_limits_hold_on_kept_connections(proxy, raw):
    # Guards against connections that keep the limits of their start.
    await proxy.start()
    adopt(proxy)
    reader, writer = await open_kept(proxy)
    adopt(proxy, HIGH, HIGH)
    assert await ask(proxy, reader, writer, raw) == b'200'


@mark.parametrize(
    ('raw', 'status'),
    [(LONG_BODY, b'413'), (CHUNKED_BODY, b'413'), (LONG_HEAD, b'431')],
)
async def test_lowered_limits_hold_on_kept_connections(proxy, raw, status):
    # Guards against connections that keep the limits of their start.
    await proxy.start()
    adopt(proxy, HIGH, HIGH)
    reader, writer = await open_kept(proxy)
    adopt(proxy)
    assert await ask(proxy, reader, writer, raw) == status


async def test_a_head_longer_than_the_buffer_of_the_start_is_read(proxy):
    # Guards against buffers that are made for the limits of the start.
    await proxy.start()
    adopt(proxy)
    reader, writer = await open_kept(proxy)
    adopt(proxy, 2 * LARGER_THAN_A_BUFFER, HIGH)
    long_head = b'GET /b HTTP/1.1\r\nHost: t\r\nX-Long: %s\r\n\r\n' % (
        LARGER_THAN_A_BUFFER * b'x'
    )
    assert await ask(proxy, reader, writer, long_head) == b'200'


@mark.parametrize('raw', [LONG_BODY, CHUNKED_BODY, LONG_HEAD])
async def test_a_request_that_has_begun_keeps_the_wider_limits(proxy, raw):
    # Guards against refusals of requests that were sent under the old limits.
    await proxy.start()
    adopt(proxy, HIGH, HIGH)
    reader, writer = await open_kept(proxy)
    await send_part(writer, raw[:START])
    adopt(proxy)
    await send_part(writer, raw[START:HALF])
    adopt(proxy)
    assert await ask(proxy, reader, writer, raw[HALF:]) == b'200'


async def test_a_head_that_has_begun_gets_the_raised_limit(proxy):
    # Guards against heads that are refused while they arrive.
    await proxy.start()
    adopt(proxy)
    reader, writer = await open_kept(proxy)
    await send_part(writer, LONG_HEAD[:HALF])
    adopt(proxy, HIGH, HIGH)
    assert await ask(proxy, reader, writer, LONG_HEAD[HALF:]) == b'200'


async def test_the_request_after_one_that_had_begun_has_the_new_limit(proxy):
    # Guards against wider limits that outlast the request they are for.
    await proxy.start()
    adopt(proxy, HIGH, HIGH)
    reader, writer = await open_kept(proxy)
    await send_part(writer, LONG_HEAD[:START])
    adopt(proxy)
    writer.write(LONG_HEAD[START:])
    assert b' 200 ' in (await proxy.read(reader))[0]
    assert await ask(proxy, reader, writer, LONG_HEAD) == b'431'
