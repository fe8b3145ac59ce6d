"""Timeouts that expire while the event loop is blocked."""

import asyncio
import time

import uvloop

from hillfield.model import Address
from hillfield.proxy.pool import Pool
from hillfield.proxy.settings import ProxySettings
from hillfield.proxy.tests.conftest import OK_ANSWER
from hillfield.routing.requests import Answered, TimedOut

POST = (
    b'POST /c HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n'
    b'X-Deadline-Ms: 300\r\n\r\nbody'
)
# Seconds; longer than the deadline and the timeout of a connection attempt.
BLOCKED_SECONDS = 0.6


async def answer_and_block(head, body, reader, writer):
    """Answer in time, then block the loop until the deadline has passed."""
    writer.write(OK_ANSWER)
    time.sleep(BLOCKED_SECONDS)
    return True


async def block_without_answer(head, body, reader, writer):
    time.sleep(BLOCKED_SECONDS)
    await asyncio.Event().wait()


async def test_unread_answer_at_the_deadline_is_forwarded(proxy):
    # Its caller got an unknown outcome though the answer had arrived.
    await proxy.start(answer_and_block)
    head, body = await proxy.ask(POST)
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert body == b'ok'
    assert proxy.dispatching.observations() == [Answered(200)]


async def test_late_loop_ends_a_request_without_answer(proxy):
    await proxy.start(block_without_answer)
    head, _ = await proxy.ask(POST)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Outcome: unknown' in head
    assert proxy.dispatching.observations() == [TimedOut()]


def test_connection_made_while_the_loop_was_late_is_used():
    # A connection attempt times out only after pending input has been read.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        opened = runner.run(connect_late())
    assert opened.is_ok(), opened


async def connect_late():
    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    free = Address('127.0.0.1', 0)
    pool = Pool(ProxySettings(free, connect_timeout=BLOCKED_SECONDS / 2))
    asking = asyncio.create_task(pool.connect(Address('127.0.0.1', port)))
    # Block the pass in which it begins: nothing of it has been read yet.
    asyncio.get_running_loop().call_soon(time.sleep, BLOCKED_SECONDS)
    opened = await asking
    server.close()
    return opened


async def accept(reader, writer):
    writer.close()
