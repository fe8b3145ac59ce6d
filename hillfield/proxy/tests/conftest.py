"""A node's request path between raw sockets and a scripted dispatcher."""

# Test doubles that implement typed protocols without annotations.
# mypy: disable-error-code="no-untyped-call, type-arg, arg-type"

import asyncio
from dataclasses import dataclass, field
from itertools import count

import pytest
from expression import Error, Ok

from hillfield.events import ListJournal
from hillfield.model import (
    Address,
    Outcome,
    RequestFailure,
    RequestPlan,
    Step,
    TargetId,
)
from hillfield.proxy import ProxyServer, ProxySettings
from hillfield.routing.requests import (
    Answered,
    CallerGone,
    ConnectFailed,
    Done,
    NothingWritten,
    Refuse,
    Send,
    Shed,
    Wait,
)

TRIAL_SECONDS = 20
MOST_HEAD = 1_000_000
OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@dataclass
class ScriptedDispatching:
    """Dispatcher that sends to targets in order, and retries if not run."""

    targets: list = field(default_factory=list)
    calls: list = field(default_factory=list)
    queueing: bool = False
    hedging: bool = False
    failing: str = ''
    ready: list = field(default_factory=list)
    due: float | None = None

    def __post_init__(self):
        self.numbers = count(1)
        self.requests = {}
        self.plans = {}

    def send(self, request, position):
        address = self.targets[position % len(self.targets)]
        attempt = next(self.numbers)
        self.requests[attempt] = (request, position)
        target = TargetId('till', address, 1)
        return Send(request, attempt, target, address)

    def admit(self, now, arrival):
        raise_if_failing(self.failing, 'admit')
        self.calls.append(('admit', arrival))
        self.plans[arrival.request] = arrival.plan
        if self.queueing:
            return Wait(arrival.request)
        return self.send(arrival.request, 0)

    def record_written(self, now, attempt):
        self.calls.append(('written', attempt))
        raise_if_failing(self.failing, 'written')

    def record_head(self, now, attempt):
        self.calls.append(('head', attempt))

    def adopt_report(self, now, report):
        self.calls.append(('capacity', report))

    def record_notice(self, now, attempt, notice):
        self.calls.append(('notice', attempt, notice))

    def record_silence(self, now, attempt):
        self.calls.append(('silence', attempt))

    def finish(self, now, attempt, observation):
        raise_if_failing(self.failing, 'finish')
        self.calls.append(('finish', attempt, observation))
        request, position = self.requests[attempt]
        if isinstance(observation, CallerGone):
            return Done(request)
        if isinstance(observation, Answered) and not observation.wrong:
            return Done(request)
        not_run_kinds = (ConnectFailed, NothingWritten, Shed)
        not_run = isinstance(observation, not_run_kinds)
        may_retry = not_run or self.plans[request].idempotent
        if may_retry and position + 1 < len(self.targets):
            return self.send(request, position + 1)
        if isinstance(observation, Answered):
            return Done(request)
        outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        return Refuse(request, refusal(outcome))

    def build_invalid_refusal(self, request):
        return Refuse(request, None)

    def compute_hedge_delay(self, plan):
        return plan.hedge_after

    def hedge(self, now, request):
        return self.send(request, 1) if self.hedging else None

    def cancel(self, now, request):
        self.calls.append(('leave', request))

    def poll(self, now):
        verdicts = tuple(self.ready)
        self.ready.clear()
        return verdicts

    def next_due(self):
        return self.due

    def for_service(self, service):
        return self

    def observations(self):
        return [entry[2] for entry in self.calls if entry[0] == 'finish']

    def only_observation(self):
        assert len(self.observations()) == 1
        return self.observations()[0]


def raise_if_failing(failing, step):
    if failing == step:
        raise ValueError('stray')


def refusal(outcome):
    return RequestFailure(503, outcome, Step.SEND, 'peer', 3999, 'told', 1.5)


class Plans:
    """Plan source with one plan, or one failure, for all requests."""

    def __init__(self):
        self.plan = RequestPlan('till', 'all', 'baker', False, 5)
        self.failing = ''
        self.failure = None
        self.heads = []

    def resolve(self, head):
        raise_if_failing(self.failing, 'resolve')
        self.heads.append(head)
        return Error(self.failure) if self.failure else Ok(self.plan)


class ListMeter:
    """Meter that keeps what is counted."""

    def __init__(self):
        self.counted = []
        self.routes = []

    def record_request(self, service, outcome):
        self.counted.append((service, outcome))

    def record_added_latency(self, seconds):
        self.counted.append(seconds >= 0)

    def record_retry(self, reason):
        self.counted.append(reason)

    def record_route(self, age, served):
        self.routes.append((age, served))


class RawTarget:
    """Target that records requests and sends scripted answers."""

    def __init__(self, answer=OK_ANSWER):
        self.answer = answer
        self.requests = []
        self.closed = asyncio.Event()
        self.received = asyncio.Event()
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=MOST_HEAD
        )
        return Address('127.0.0.1', self.server.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            await self.serve_all(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()

    async def serve_all(self, reader, writer):
        keep_open = True
        while keep_open:
            keep_open = await self.exchange(reader, writer)

    async def exchange(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        body = await read_body(head, reader)
        self.requests.append((head, body))
        self.received.set()
        if callable(self.answer):
            return await self.answer(head, body, reader, writer)
        writer.write(self.answer)
        await writer.drain()
        return True


async def read_body(head, reader):
    fields = head.lower()
    if b'transfer-encoding: chunked' in fields:
        return await read_chunks(reader)
    if b'content-length: ' not in fields:
        return b''
    length = fields.split(b'content-length: ')[1].split(b'\r\n')[0]
    return await reader.readexactly(int(length))


async def read_chunks(reader):
    parts = []
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line, 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


class ProxyHarness:
    """One running request path with its targets."""

    def __init__(self):
        self.plans = Plans()
        self.dispatching = ScriptedDispatching()
        self.journal = ListJournal()
        self.meter = ListMeter()
        self.targets = []
        self.settings = {'linger': 0.05, 'drain_grace': 0.01}

    async def start(self, *answers, **settings):
        for answer in answers or (OK_ANSWER,):
            self.targets.append(RawTarget(answer))
        addresses = [target.start() for target in self.targets]
        self.dispatching.targets.extend(await asyncio.gather(*addresses))
        self.server = ProxyServer(
            ProxySettings(
                Address('127.0.0.1', 0),
                **{**self.settings, **settings},
            ),
            self.plans,
            self.dispatching,
            self.journal,
            self.meter,
        )
        self.server.start()
        return self.targets[0]

    async def read(self, reader):
        return await read_answer(reader)

    async def open(self):
        address = self.server.address
        return await asyncio.open_connection(address.ip, address.port)

    async def ask(self, raw, end=True):
        """Send bytes; return one answer, or all bytes until the end."""
        reader, writer = await self.open()
        writer.write(raw)
        answer = await read_answer(reader) if end else await reader.read()
        writer.close()
        return answer

    def codes(self):
        return [occurrence.code for occurrence in self.journal.occurrences]


async def read_answer(reader):
    """Return one answer: head bytes and body; raises if it is incomplete."""
    head = await reader.readuntil(b'\r\n\r\n')
    if head.startswith(b'HTTP/1.1 100'):
        head = await reader.readuntil(b'\r\n\r\n')
    return head, await read_body(head, reader)


@pytest.fixture
def proxy():
    """Return a request path that is not started yet."""
    return ProxyHarness()


def pytest_pyfunc_call(pyfuncitem):
    """Run each coroutine test in its own event loop, with a timeout."""
    if not asyncio.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    wanted = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(asyncio.wait_for(pyfuncitem.obj(**wanted), TRIAL_SECONDS))
    return True
