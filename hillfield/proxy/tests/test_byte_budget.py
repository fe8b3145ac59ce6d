"""Many large bodies at once, with a limited byte budget."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

import pytest
from expression import Ok

from hillfield.events import EventCode
from hillfield.holding import ByteLimits, build_budget
from hillfield.model import RequestPlan
from hillfield.proxy.tests.gatedtarget import run_pending

PART_SIZE = 1024
HELD_PER_UPLOAD = 4 * PART_SIZE
BODY = bytes(range(256)) * 64
UPLOADS_HELD = 8
LIMIT = UPLOADS_HELD * HELD_PER_UPLOAD
HEAD = (
    b'POST /%d HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n'
    b'Authorization: Basic %s\r\n\r\n'
)
CHUNKED = (
    b'POST /0 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'%x\r\n%s\r\n'
)


class AccountPlans:
    """Plans with the account that a caller names."""

    def resolve(self, head):
        return Ok(RequestPlan('till', 'all', head.account, False, 5))


class UploadBurst:
    """Concurrent uploads to a real server with a byte budget."""

    def __init__(self, proxy, **limits):
        self.proxy = proxy
        self.budget = build_budget(ByteLimits(**limits))
        self.peak = 0
        self.received = []
        self.release = asyncio.Event()

    async def start(self):
        self.proxy.plans = AccountPlans()
        await self.proxy.start(
            self.answer,
            budget=self.budget,
            held_body=PART_SIZE,
            part_size=PART_SIZE,
        )

    async def answer(self, head, body, reader, writer):
        self.received.append((head.split()[1], body))
        self.check_budget()
        await self.release.wait()
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        await writer.drain()
        return True

    def check_budget(self):
        self.peak = max(self.peak, self.budget.requests.total)
        assert self.measure() <= self.budget.requests.total
        assert self.budget.requests.total <= self.budget.requests.limit
        assert self.budget.target.total <= self.budget.target.limit

    def measure(self):
        """Return the bytes of request bodies that are in memory."""
        connections = self.proxy.server._connections.tasks
        incoming = [each._incoming for each in connections]
        bodies = [each._body for each in incoming if each and each._exchange]
        return sum(len(part) for body in bodies for part in body._parts)

    async def upload(self, number, account=b'YmFrZXI6eA=='):
        """Send a head and a body; return the head of the answer."""
        reader, writer = await self.proxy.open()
        writer.write(HEAD % (number, len(BODY), account))
        self.check_budget()
        writer.write(BODY)
        head, _ = await self.proxy.read(reader)
        self.check_budget()
        writer.close()
        return head

    def read_totals(self):
        budget = self.budget
        return (
            budget.requests.total,
            budget.answers.total,
            budget.target.total,
        )


async def run_burst(proxy, count, **limits):
    burst = UploadBurst(proxy, **limits)
    await burst.start()
    burst.release.set()
    heads = await asyncio.gather(*map(burst.upload, range(count)))
    await run_pending()
    return burst, heads


async def test_burst_of_ten_times_the_budget(proxy):
    count = 10 * UPLOADS_HELD
    burst, heads = await run_burst(proxy, count, requests=LIMIT)
    served = {
        b'/%d' % number
        for number, head in enumerate(heads)
        if head.startswith(b'HTTP/1.1 200')
    }
    refused = [head for head in heads if head.startswith(b'HTTP/1.1 503')]
    assert len(served) + len(refused) == count
    assert served
    assert 0 < burst.peak <= LIMIT
    names = [name for name, _ in burst.received]
    # Each ran at most once, and each accepted body is complete.
    assert sorted(names) == sorted(served)
    assert {body for _, body in burst.received} == {BODY}
    assert burst.read_totals() == (0, 0, 0)


async def test_bodies_beyond_the_budget_are_refused_unread(proxy):
    burst = UploadBurst(proxy, requests=LIMIT)
    await burst.start()
    reader, writer = await proxy.open()
    opening = [proxy.open() for _ in range(UPLOADS_HELD // 2)]
    first = await asyncio.gather(*opening)
    for number, (_, sender) in enumerate(first):
        sender.write(HEAD % (number, len(BODY), b'YmFrZXI6eA=='))
    await run_pending()
    assert burst.budget.requests.total == LIMIT // 2
    writer.write(HEAD % (99, len(BODY), b'YmFrZXI6eA=='))
    head, body = await proxy.read(reader)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 1\r\n' in head
    assert b'Connection: close\r\n' in head
    assert b'Hillfield-Outcome: not-run\r\n' in head
    assert b'no room for its body' in body
    assert EventCode.BYTES_EXHAUSTED in proxy.codes()
    # Only the account that sends slowly is refused, not another one.
    burst.release.set()
    other = await burst.upload(5, account=b'dGlsbDp4')
    assert other.startswith(b'HTTP/1.1 200')
    for _, sender in first:
        sender.write(BODY)
    reading = [proxy.read(each) for each, _ in first]
    answers = await asyncio.gather(*reading)
    assert all(head.startswith(b'HTTP/1.1 200') for head, _ in answers)
    assert len(burst.received) == UPLOADS_HELD // 2 + 1
    writer.close()
    for _, sender in first:
        sender.close()
    await run_pending()
    assert burst.read_totals() == (0, 0, 0)


async def test_bodies_at_the_target_are_bounded(proxy):
    burst = UploadBurst(proxy, target=4 * len(BODY))
    await burst.start()
    uploads = [asyncio.create_task(burst.upload(each)) for each in range(2)]
    while len(burst.received) < 2:
        await asyncio.sleep(0)
    assert burst.budget.target.total == 2 * len(BODY)
    head = await burst.upload(9)
    assert head.startswith(b'HTTP/1.1 503')
    burst.release.set()
    answers = await asyncio.gather(*uploads)
    assert all(head.startswith(b'HTTP/1.1 200') for head in answers)
    assert (await burst.upload(9)).startswith(b'HTTP/1.1 200')
    await run_pending()
    assert burst.read_totals() == (0, 0, 0)


async def test_body_of_unknown_length_is_counted_as_it_arrives(proxy):
    burst = UploadBurst(proxy, target=len(BODY))
    await burst.start()
    reader, writer = await proxy.open()
    writer.write(CHUNKED % (len(BODY), BODY))
    while burst.budget.target.total < len(BODY):
        await asyncio.sleep(0)
    head = await burst.upload(9)
    assert head.startswith(b'HTTP/1.1 503')
    burst.release.set()
    writer.write(b'0\r\n\r\n')
    assert (await proxy.read(reader))[0].startswith(b'HTTP/1.1 200')
    assert burst.received == [(b'/0', BODY)]
    writer.close()
    await run_pending()
    assert burst.read_totals() == (0, 0, 0)


async def test_slow_reader_is_refused_further_requests(proxy):
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % 9_000_000
    budget = build_budget(ByteLimits(answers=100_000))
    proxy.plans = AccountPlans()
    await proxy.start(answer + bytes(9_000_000), budget=budget)
    read = b'GET / HTTP/1.1\r\nHost: t\r\nAuthorization: Basic %s\r\n\r\n'
    reader, writer = await proxy.open()
    writer.transport.pause_reading()
    writer.write(read % b'YmFrZXI6eA==')
    while budget.answers.total <= 50_000:
        await asyncio.sleep(0)
    await run_pending()
    assert budget.answers.held_by('baker') > 50_000
    refused, _ = await proxy.ask(read % b'YmFrZXI6eA==')
    assert refused.startswith(b'HTTP/1.1 503')
    _, other = await proxy.ask(read % b'dGlsbDp4')
    assert len(other) == 9_000_000
    writer.transport.resume_reading()
    assert len((await proxy.read(reader))[1]) == 9_000_000
    writer.close()
    await run_pending()
    assert not budget.answers.total


@pytest.mark.parametrize('length', [100, len(BODY)])
async def test_caller_disconnect_releases_the_budget(proxy, length):
    burst = UploadBurst(proxy, requests=LIMIT, target=LIMIT)
    await burst.start()
    _, writer = await proxy.open()
    writer.write(HEAD % (1, length, b'YmFrZXI6eA=='))
    writer.write(BODY[: length // 2])
    while not burst.budget.requests.total:
        await asyncio.sleep(0)
    writer.close()
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    assert burst.read_totals() == (0, 0, 0)
