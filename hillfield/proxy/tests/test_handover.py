"""Requests written between nodes on connections that may be dead.

Hosts were cut off while their connections stayed open. Requests written to them
might have run, as far as the sender knew, so callers waited for their deadlines
and got an unknown outcome, though no target had been reached.
"""

import asyncio
from enum import Enum, auto
from random import Random

import pytest

from hillfield.gate.hop import HopDialect
from hillfield.model import RequestPlan
from hillfield.proxy.tests.conftest import OK_ANSWER, RawTarget, read_body
from hillfield.routing.declining import Declined
from hillfield.routing.requests import Answered, Broken, NothingWritten

POST = b'POST /c HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbody'
EMPTY = b'DELETE /c HTTP/1.1\r\nHost: t\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 (Continue)\r\n\r\n'
DECLINED = (
    b'HTTP/1.1 503 Service Unavailable\r\nHillfield-Outcome: not-run\r\n'
    b'Hillfield-Step: route\r\nContent-Length: 0\r\n\r\n'
)
NON_IDEMPOTENT = RequestPlan(
    'till',
    'all',
    'baker',
    idempotent=False,
    deadline=5,
)
IDEMPOTENT = RequestPlan('till', 'all', 'baker', idempotent=True, deadline=5)
SHORT = RequestPlan('till', 'all', 'baker', idempotent=False, deadline=0.05)
# Seconds; much shorter than the keepalive timeout in use.
KEEPALIVE_WITHIN = 0.1
ALWAYS_UNPROVEN = 0
MINUTE = 60


class GateBehaviour(Enum):
    """How far a gate processes a request."""

    SILENT = auto()
    CLOSES = auto()
    DECLINES = auto()
    ASKS_AND_CLOSES = auto()
    RUNS_AND_CLOSES = auto()
    ANSWERS = auto()


HEAD_ONLY = (GateBehaviour.SILENT, GateBehaviour.CLOSES, GateBehaviour.DECLINES)


BEHAVIOURS = tuple(GateBehaviour)


class Gate(RawTarget):
    """Node beside a target; `runs` are the bodies of requests that it began."""

    def __init__(self, *behaviours):
        super().__init__()
        self.behaviours = list(behaviours)
        self.heads = []
        self.runs = []
        self.pause = float()

    async def exchange(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        behaviour = self.behaviours.pop(0)
        if behaviour in HEAD_ONLY:
            writer.write(
                DECLINED if behaviour is GateBehaviour.DECLINES else b'',
            )
            await self.wait_for_rest(behaviour, reader)
            return False
        if b'100-continue' in head:
            writer.write(CONTINUE)
        if behaviour is GateBehaviour.ASKS_AND_CLOSES:
            return False
        self.runs.append(await read_body(head, reader))
        if behaviour is GateBehaviour.RUNS_AND_CLOSES:
            return False
        await asyncio.sleep(self.pause)
        writer.write(OK_ANSWER)
        return True

    async def wait_for_rest(self, behaviour, reader):
        if behaviour is GateBehaviour.SILENT and await reader.read():
            self.runs.append(b'without having asked')


async def open_path(proxy, gates, plan=NON_IDEMPOTENT, after=ALWAYS_UNPROVEN):
    proxy.plans.plan = plan
    await proxy.start(
        targets=HopDialect(),
        keepalive_within=KEEPALIVE_WITHIN,
        two_step_after=after,
    )
    addresses = await asyncio.gather(*(gate.start() for gate in gates))
    proxy.dispatching.targets = addresses


async def ask(proxy, gates, raw=POST, plan=NON_IDEMPOTENT):
    """Send a request to these gates in order; return its answer's head."""
    await open_path(proxy, gates, plan)
    return (await proxy.ask(raw))[0]


async def test_rest_is_written_once_the_gate_asks(proxy):
    gate = Gate(GateBehaviour.ANSWERS)
    head = await ask(proxy, [gate])
    assert head.startswith(b'HTTP/1.1 200')
    assert gate.runs == [b'body']
    assert b'Content-Length: 4\r\n' in gate.heads[0]
    assert b'Expect: 100-continue\r\n' in gate.heads[0]
    names = [entry[0] for entry in proxy.dispatching.calls]
    assert names == ['admit', 'written', 'head', 'finish']


async def test_request_without_body_is_incomplete_with_its_head(proxy):
    gate = Gate(GateBehaviour.ANSWERS)
    head = await ask(proxy, [gate], EMPTY)
    assert head.startswith(b'HTTP/1.1 200')
    assert gate.runs == [b'']
    assert b'Transfer-Encoding: chunked\r\n' in gate.heads[0]
    assert b'Content-Length' not in gate.heads[0]


@pytest.mark.parametrize('raw', [POST, EMPTY])
@pytest.mark.parametrize(
    'behaviour',
    [GateBehaviour.SILENT, GateBehaviour.CLOSES],
)
async def test_incomplete_request_is_sent_elsewhere(proxy, raw, behaviour):
    gates = (Gate(behaviour), Gate(GateBehaviour.ANSWERS))
    head = await ask(proxy, gates, raw)
    assert head.startswith(b'HTTP/1.1 200')
    assert not gates[0].runs
    first, second = proxy.dispatching.observations()
    assert isinstance(first, NothingWritten)
    assert second == Answered(200)


async def test_declined_request_is_sent_elsewhere(proxy):
    gates = (Gate(GateBehaviour.DECLINES), Gate(GateBehaviour.ANSWERS))
    await ask(proxy, gates)
    first = proxy.dispatching.observations()[0]
    assert isinstance(first, Declined)
    assert first.lasting


@pytest.mark.parametrize(
    'behaviour',
    [GateBehaviour.ASKS_AND_CLOSES, GateBehaviour.RUNS_AND_CLOSES],
)
async def test_complete_request_is_not_sent_again(proxy, behaviour):
    gates = (Gate(behaviour), Gate(GateBehaviour.ANSWERS))
    head = await ask(proxy, gates)
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert not gates[1].heads
    assert isinstance(proxy.dispatching.only_observation(), Broken)


async def test_deadline_of_incomplete_request_is_not_run(proxy):
    gate = Gate(GateBehaviour.SILENT)
    head = await ask(proxy, [gate], plan=SHORT)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Outcome: not-run\r\n' in head
    assert proxy.dispatching.only_observation() == NothingWritten(
        'deadline passed',
    )


async def test_connection_that_has_just_answered_is_proven(proxy):
    gate = Gate(GateBehaviour.ANSWERS, GateBehaviour.ANSWERS)
    await open_path(proxy, [gate], after=MINUTE)
    await proxy.ask(POST)
    await proxy.ask(POST)
    two_steps = [b'100-continue' in head for head in gate.heads]
    assert two_steps == [True, False]


async def test_sending_incomplete_request_elsewhere_is_no_retry(
    proxy,
):
    """Retries are limited: the request failed with 502 once none was left."""
    gates = (Gate(GateBehaviour.SILENT), Gate(GateBehaviour.ANSWERS))
    head = await ask(proxy, gates, plan=IDEMPOTENT)
    assert head.startswith(b'HTTP/1.1 200')
    assert isinstance(proxy.dispatching.observations()[0], NothingWritten)


async def test_request_for_the_rest_counts_as_keepalive(proxy):
    """It may answer slowly, as its network path or its target is slow."""
    gate = Gate(GateBehaviour.ANSWERS)
    gate.pause = 2 * KEEPALIVE_WITHIN
    head = await ask(proxy, [gate], plan=IDEMPOTENT)
    assert head.startswith(b'HTTP/1.1 200')
    assert len(gate.runs) == 1


async def ask_and_check(proxy, gates, raw):
    """Send a request; it runs at most once, and its outcome must be true."""
    before = count_runs(gates)
    answer = await proxy.ask(raw)
    ran = count_runs(gates) - before
    assert ran <= 1
    contradiction = b'Hillfield-Outcome: not-run' if ran else b'HTTP/1.1 200'
    assert contradiction not in answer[0]


@pytest.mark.parametrize('after', [ALWAYS_UNPROVEN, 0.001, MINUTE])
@pytest.mark.parametrize('seed', range(20))
async def test_request_runs_at_most_once_and_its_outcome_is_true(
    proxy,
    seed,
    after,
):
    """Send ten requests to three gates with random behaviour."""
    random = Random(seed)
    gates = [Gate(*choose(random, BEHAVIOURS)) for _ in range(3)]
    await open_path(proxy, gates, after=after)
    for raw in choose(random, (POST, EMPTY)):
        await ask_and_check(proxy, gates, raw)  # noqa: WPS476 one by one


def choose(random, kinds):
    return random.choices(kinds, k=10)


def count_runs(gates):
    return sum(len(gate.runs) for gate in gates)
