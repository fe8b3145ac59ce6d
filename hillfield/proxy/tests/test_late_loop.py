"""What a node makes of a wait that ended while it read nothing."""

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
# Longer than the deadline and than the bound of a connection attempt.
STILL = 0.6


async def answer_unread(head, body, reader, writer):
    """Answer in time; then the node reads nothing until it is late."""
    writer.write(OK_ANSWER)
    time.sleep(STILL)
    return True


async def stand_still(head, body, reader, writer):
    time.sleep(STILL)
    await asyncio.Event().wait()


async def test_an_answer_that_lies_unread_at_the_deadline_is_delivered(path):
    # Its caller was told that nobody knows whether it ran.
    await path.start(answer_unread)
    head, body = await path.ask(POST)
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert body == b'ok'
    assert path.dispatching.observations() == [Answered(200)]


async def test_a_late_loop_still_ends_a_request_that_has_no_answer(path):
    await path.start(stand_still)
    head, _ = await path.ask(POST)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Outcome: unknown' in head
    assert path.dispatching.observations() == [TimedOut()]


def test_a_connection_made_while_the_loop_was_late_is_used():
    # A wait for a connection ends by a look at what has come, not by the clock.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        opened = runner.run(connect_late())
    assert opened.is_ok(), opened


async def connect_late():
    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    free = Address('127.0.0.1', 0)
    pool = Pool(ProxySettings(free, connect_timeout=STILL / 2))
    asking = asyncio.create_task(pool.connect(Address('127.0.0.1', port)))
    # In the pass in which it begins: nothing of it has been read yet.
    asyncio.get_running_loop().call_soon(time.sleep, STILL)
    opened = await asking
    server.close()
    return opened


async def accept(reader, writer):
    writer.close()
