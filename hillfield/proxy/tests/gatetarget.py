"""Target whose answers a test lets out one by one."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio
from contextlib import suppress

from expression import Error, Ok

from hillfield.model import Outcome, RequestFailure, RequestPlan, Step

LIMITED = RequestFailure(
    429,
    Outcome.NOT_RUN,
    Step.ADMIT,
    '',
    3999,
    'limited',
    1,
)
READ = b'GET %s HTTP/1.1\r\nHost: t\r\nX-Request-Id: %s\r\n\r\n'
WRITE = (
    b'POST %s HTTP/1.1\r\nHost: t\r\nX-Request-Id: %s\r\n'
    b'Content-Length: 4\r\n\r\nbody'
)


def safe(path):
    """Return a request that may run again; its id is its path."""
    return READ % (path, path)


def unsafe(path):
    """Return a request that runs once."""
    return WRITE % (path, path)


class PathPlans:
    """Let what begins with /u run once, refuse /x, all else has an aim."""

    def __init__(self):
        self.heads = []

    def resolve(self, head):
        self.heads.append(head)
        if head.path.startswith('/x'):
            return Error(LIMITED)
        again = not head.path.startswith('/u')
        return Ok(RequestPlan('till', 'all', 'baker', again, 5, aim=1))


class Gate:
    """Answer a request with its path once it is let out."""

    def __init__(self):
        self.log = []
        self.begun = []
        self.ended = []
        self.sizes = {}
        self.broken = set()
        self.chunked = set()
        self.dropped = []
        self._out = {}
        self._change = asyncio.Event()

    def let_out(self, *paths):
        for path in paths:
            self._find(path).set()

    async def wait_for(self, condition):
        while not condition():
            self._change.clear()
            await self._change.wait()

    async def answer(self, head, body, reader, writer):
        path = head.split()[1]
        self.log.append(('begun', path))
        self._note(self.begun, path)
        left = asyncio.create_task(reader.read(1))
        out = asyncio.create_task(self._find(path).wait())
        await asyncio.wait((left, out), return_when=asyncio.FIRST_COMPLETED)
        gone = left.done()
        await _cancel(left)
        await _cancel(out)
        if gone:
            self._note(self.dropped, path)
            return False
        self.log.append(('out', path))
        return await self._write(path, writer)

    def body_of(self, path):
        return path * (self.sizes.get(path, 1))

    async def _write(self, path, writer):
        body = self.body_of(path)
        if path in self.chunked:
            return await _break_in_chunks(body, writer)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        if path in self.broken:
            writer.write(head + body[: len(body) // 2])
            await writer.drain()
            return False
        writer.write(head + body)
        with suppress(ConnectionError):
            await writer.drain()
        self._note(self.ended, path)
        return True

    def _find(self, path):
        return self._out.setdefault(path, asyncio.Event())

    def _note(self, notes, path):
        notes.append(path)
        self._change.set()


async def start(path, **more):
    """Start a path before a gate; each answer waits to be let out."""
    gate = Gate()
    path.plans = PathPlans()
    await path.start(gate.answer, **more)
    return gate


async def open_with(path, *requests):
    """Send requests at once on a new connection."""
    reader, writer = await path.open()
    writer.write(b''.join(requests))
    return reader, writer


async def open_reads(path, *names):
    """Send requests that may run again."""
    return await open_with(path, *map(safe, names))


async def read_bodies(path, reader, count):
    """Return the bodies of the next answers."""
    bodies = []
    while len(bodies) < count:
        _, body = await path.read(reader)
        bodies.append(body)
    return bodies


async def settle():
    """Let all that can go on do so."""
    turns = 0
    while turns < 200:
        turns += 1
        await asyncio.sleep(0)


async def _break_in_chunks(body, writer):
    writer.write(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'%x\r\n%s\r\n' % (len(body), body),
    )
    await writer.drain()
    await asyncio.sleep(0.05)
    return False


async def _cancel(task):
    task.cancel()
    with suppress(asyncio.CancelledError, ConnectionError):
        await task
