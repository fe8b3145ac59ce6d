"""Target that sends each answer only once a test releases it."""

# The tests and their shared doubles are untyped.
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
IDEMPOTENT = b'GET %s HTTP/1.1\r\nHost: t\r\nX-Request-Id: %s\r\n\r\n'
ONCE = (
    b'POST %s HTTP/1.1\r\nHost: t\r\nX-Request-Id: %s\r\n'
    b'Content-Length: 4\r\n\r\nbody'
)


def idempotent_request(path):
    """Return an idempotent request; its id is its path."""
    return IDEMPOTENT % (path, path)


def once_request(path):
    """Return a request that is not idempotent."""
    return ONCE % (path, path)


class PathPlans:
    """Plans: /u is not idempotent, /x is refused, all others have an aim."""

    def __init__(self):
        self.heads = []

    def resolve(self, head):
        self.heads.append(head)
        if head.path.startswith('/x'):
            return Error(LIMITED)
        idempotent = not head.path.startswith('/u')
        return Ok(RequestPlan('till', 'all', 'baker', idempotent, 5, aim=1))


class GatedTarget:
    """Target that answers a request with its path once it is released."""

    def __init__(self):
        self.log = []
        self.begun = []
        self.ended = []
        self.sizes = {}
        self.broken = set()
        self.chunked = set()
        self.dropped = []
        self._releases = {}
        self._change = asyncio.Event()

    def release(self, *paths):
        for path in paths:
            self._find_release(path).set()

    async def wait_for(self, condition):
        while not condition():
            self._change.clear()
            await self._change.wait()

    async def answer(self, head, body, reader, writer):
        path = head.split()[1]
        self.log.append(('begun', path))
        self._record(self.begun, path)
        disconnected = asyncio.create_task(reader.read(1))
        released = asyncio.create_task(self._find_release(path).wait())
        await asyncio.wait(
            (disconnected, released),
            return_when=asyncio.FIRST_COMPLETED,
        )
        has_left = disconnected.done()
        await _cancel(disconnected)
        await _cancel(released)
        if has_left:
            self._record(self.dropped, path)
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
        self._record(self.ended, path)
        return True

    def _find_release(self, path):
        return self._releases.setdefault(path, asyncio.Event())

    def _record(self, paths, path):
        paths.append(path)
        self._change.set()


async def start(proxy, **more):
    """Start a request path with this target; each answer waits for release."""
    gate = GatedTarget()
    proxy.plans = PathPlans()
    await proxy.start(gate.answer, **more)
    return gate


async def open_with(proxy, *requests):
    """Pipeline requests on a new connection."""
    reader, writer = await proxy.open()
    writer.write(b''.join(requests))
    return reader, writer


async def open_reads(proxy, *names):
    """Pipeline idempotent requests."""
    return await open_with(proxy, *map(idempotent_request, names))


async def read_bodies(proxy, reader, count):
    """Return the bodies of the next answers."""
    bodies = []
    while len(bodies) < count:
        _, body = await proxy.read(reader)
        bodies.append(body)
    return bodies


async def run_pending():
    """Run the event loop until pending work has finished."""
    passes = 0
    while passes < 200:
        passes += 1
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
