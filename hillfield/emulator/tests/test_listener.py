"""A listener that closes while requests are on their way.

Callers were told that a capture may have run which its target had never begun:
it had been written in the turn of the loop in which the target closed.
"""

import asyncio
import socket
from contextlib import asynccontextmanager

from hillfield.emulator.listener import Listener
from hillfield.emulator.target_answers import find_connection
from hillfield.model import Address

REQUEST = b'POST /captures HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nok'
# More turns of the loop than a close takes.
TURNS = 200


class Begun:
    """Begin requests and never end them."""

    def __init__(self):
        self.ports = []

    async def serve(self, request):
        self.ports.append(find_connection(request).stream.socket.getpeername())
        await asyncio.Event().wait()


def connect(listener):
    link = socket.create_connection(
        (listener.address.ip, listener.address.port)
    )
    link.setblocking(False)
    return link


def is_open(link):
    try:
        return bool(link.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except OSError:
        return False


@asynccontextmanager
async def listen(begun):
    listener = Listener(Address('127.0.0.1', 0), begun.serve)
    listener.open()
    yield listener
    await listener.close()


async def write_at_each_turn(links):
    """Write on the next link while it is open; return who wrote."""
    sent = set()
    for link in links:
        await asyncio.sleep(0)  # noqa: WPS476 one turn after another
        if is_open(link):
            sent |= write(link)
    return sent


def write(link):
    link.send(REQUEST)
    return {link.getsockname()}


async def test_it_may_be_opened_again_while_it_closes():
    """A target that flaps ended with an address that was in use."""
    async with listen(Begun()) as listener:
        kept = connect(listener)
        closing = asyncio.create_task(listener.refuse())
        await asyncio.sleep(0)
        listener.open()
        await closing
        assert listener.is_open
        assert is_open(connect(listener))
        assert not is_open(kept)


async def test_what_was_written_before_it_closes_begins():
    begun = Begun()
    async with listen(begun) as listener:
        links = [connect(listener) for _ in range(5)]
        sent = set().union(*map(write, links))
        await listener.refuse()
    assert set(begun.ports) == sent


async def test_what_is_written_while_it_closes_begins():
    begun = Begun()
    async with listen(begun) as listener:
        links = [connect(listener) for _ in range(TURNS)]
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(listener.refuse())
        sent = await write_at_each_turn(links)
        await closing
    assert sent
    assert set(begun.ports) == sent
