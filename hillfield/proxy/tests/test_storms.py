"""Many large bodies at once, against a budget of bytes."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

import pytest
from expression import Ok

from hillfield.events import EventCode
from hillfield.holding import ByteLimits, make_budget
from hillfield.model import RequestPlan
from hillfield.proxy.tests.gatetarget import settle

PART = 1024
KEPT = 4 * PART
BODY = bytes(range(256)) * 64
UPLOADS_HELD = 8
LIMIT = UPLOADS_HELD * KEPT
HEAD = (
    b'POST /%d HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n'
    b'Authorization: Basic %s\r\n\r\n'
)
CHUNKED = (
    b'POST /0 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'%x\r\n%s\r\n'
)


class AccountPlans:
    """Take the account that a caller names."""

    def resolve(self, head):
        return Ok(RequestPlan('till', 'all', head.account, False, 5))


class Storm:
    """Send uploads all at once to a real server with a budget."""

    def __init__(self, path, **limits):
        self.path = path
        self.budget = make_budget(ByteLimits(**limits))
        self.peak = 0
        self.taken = []
        self.release = asyncio.Event()

    async def start(self):
        self.path.plans = AccountPlans()
        await self.path.start(
            self.answer,
            budget=self.budget,
            held_body=PART,
            part_size=PART,
        )

    async def answer(self, head, body, reader, writer):
        self.taken.append((head.split()[1], body))
        self.note_peak()
        await self.release.wait()
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        await writer.drain()
        return True

    def note_peak(self):
        self.peak = max(self.peak, self.budget.requests.total)
        assert self.measure() <= self.budget.requests.total
        assert self.budget.requests.total <= self.budget.requests.limit
        assert self.budget.target.total <= self.budget.target.limit

    def measure(self):
        """Return the bytes of bodies that are really there."""
        connections = self.path.server._connections.tasks
        incoming = [each._incoming for each in connections]
        bodies = [each._body for each in incoming if each and each._exchange]
        return sum(len(part) for body in bodies for part in body._parts)

    async def upload(self, number, account=b'YmFrZXI6eA=='):
        """Send a head, and the body unless it is refused before."""
        reader, writer = await self.path.open()
        writer.write(HEAD % (number, len(BODY), account))
        self.note_peak()
        writer.write(BODY)
        head, _ = await self.path.read(reader)
        self.note_peak()
        writer.close()
        return head

    def read_totals(self):
        budget = self.budget
        return (
            budget.requests.total,
            budget.answers.total,
            budget.target.total,
        )


async def storm_with(path, count, **limits):
    storm = Storm(path, **limits)
    await storm.start()
    storm.release.set()
    heads = await asyncio.gather(*map(storm.upload, range(count)))
    await settle()
    return storm, heads


async def test_a_storm_of_ten_times_the_budget(path):
    count = 10 * UPLOADS_HELD
    storm, heads = await storm_with(path, count, requests=LIMIT)
    served = {
        b'/%d' % number
        for number, head in enumerate(heads)
        if head.startswith(b'HTTP/1.1 200')
    }
    refused = [head for head in heads if head.startswith(b'HTTP/1.1 503')]
    assert len(served) + len(refused) == count
    assert served
    assert 0 < storm.peak <= LIMIT
    names = [name for name, _ in storm.taken]
    # Each ran once at most, and what was accepted came whole.
    assert sorted(names) == sorted(served)
    assert {body for _, body in storm.taken} == {BODY}
    assert storm.read_totals() == (0, 0, 0)


async def test_beyond_the_budget_bodies_are_refused_unread(path):
    storm = Storm(path, requests=LIMIT)
    await storm.start()
    reader, writer = await path.open()
    opening = [path.open() for _ in range(UPLOADS_HELD // 2)]
    first = await asyncio.gather(*opening)
    for number, (_, sender) in enumerate(first):
        sender.write(HEAD % (number, len(BODY), b'YmFrZXI6eA=='))
    await settle()
    assert storm.budget.requests.total == LIMIT // 2
    writer.write(HEAD % (99, len(BODY), b'YmFrZXI6eA=='))
    head, body = await path.read(reader)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 1\r\n' in head
    assert b'Connection: close\r\n' in head
    assert b'Hillfield-Outcome: not-run\r\n' in head
    assert b'no room for its body' in body
    assert EventCode.BYTES_EXHAUSTED in path.codes()
    # The account that sends slowly pays; another one still finds room.
    storm.release.set()
    other = await storm.upload(5, account=b'dGlsbDp4')
    assert other.startswith(b'HTTP/1.1 200')
    for _, sender in first:
        sender.write(BODY)
    reading = [path.read(each) for each, _ in first]
    answers = await asyncio.gather(*reading)
    assert all(head.startswith(b'HTTP/1.1 200') for head, _ in answers)
    assert len(storm.taken) == UPLOADS_HELD // 2 + 1
    writer.close()
    for _, sender in first:
        sender.close()
    await settle()
    assert storm.read_totals() == (0, 0, 0)


async def test_the_target_gets_no_more_bodies_than_it_may_hold(path):
    storm = Storm(path, target=4 * len(BODY))
    await storm.start()
    uploads = [asyncio.create_task(storm.upload(each)) for each in range(2)]
    while len(storm.taken) < 2:
        await asyncio.sleep(0)
    assert storm.budget.target.total == 2 * len(BODY)
    head = await storm.upload(9)
    assert head.startswith(b'HTTP/1.1 503')
    storm.release.set()
    answers = await asyncio.gather(*uploads)
    assert all(head.startswith(b'HTTP/1.1 200') for head in answers)
    assert (await storm.upload(9)).startswith(b'HTTP/1.1 200')
    await settle()
    assert storm.read_totals() == (0, 0, 0)


async def test_a_body_of_unknown_length_counts_as_it_comes(path):
    storm = Storm(path, target=len(BODY))
    await storm.start()
    reader, writer = await path.open()
    writer.write(CHUNKED % (len(BODY), BODY))
    while storm.budget.target.total < len(BODY):
        await asyncio.sleep(0)
    head = await storm.upload(9)
    assert head.startswith(b'HTTP/1.1 503')
    storm.release.set()
    writer.write(b'0\r\n\r\n')
    assert (await path.read(reader))[0].startswith(b'HTTP/1.1 200')
    assert storm.taken == [(b'/0', BODY)]
    writer.close()
    await settle()
    assert storm.read_totals() == (0, 0, 0)


async def test_a_slow_reader_is_refused_further_requests(path):
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % 9_000_000
    budget = make_budget(ByteLimits(answers=100_000))
    path.plans = AccountPlans()
    await path.start(answer + bytes(9_000_000), budget=budget)
    read = b'GET / HTTP/1.1\r\nHost: t\r\nAuthorization: Basic %s\r\n\r\n'
    reader, writer = await path.open()
    writer.transport.pause_reading()
    writer.write(read % b'YmFrZXI6eA==')
    while budget.answers.total <= 50_000:
        await asyncio.sleep(0)
    await settle()
    assert budget.answers.held_by('baker') > 50_000
    refused, _ = await path.ask(read % b'YmFrZXI6eA==')
    assert refused.startswith(b'HTTP/1.1 503')
    _, other = await path.ask(read % b'dGlsbDp4')
    assert len(other) == 9_000_000
    writer.transport.resume_reading()
    assert len((await path.read(reader))[1]) == 9_000_000
    writer.close()
    await settle()
    assert not budget.answers.total


@pytest.mark.parametrize('length', [100, len(BODY)])
async def test_a_caller_that_leaves_gives_all_back(path, length):
    storm = Storm(path, requests=LIMIT, target=LIMIT)
    await storm.start()
    _, writer = await path.open()
    writer.write(HEAD % (1, length, b'YmFrZXI6eA=='))
    writer.write(BODY[: length // 2])
    while not storm.budget.requests.total:
        await asyncio.sleep(0)
    writer.close()
    while path.server.count_connections():
        await asyncio.sleep(0)
    assert storm.read_totals() == (0, 0, 0)
