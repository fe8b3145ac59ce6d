"""Requests handed over between nodes on connections that may lead nowhere.

Hosts were cut off while their connections stayed open. What was written to them
may have run for all that its sender knew, so callers waited for their deadlines
and were told that it was unknown, though no target had been reached.
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
GO_ON = b'HTTP/1.1 100 (Continue)\r\n\r\n'
DECLINED = (
    b'HTTP/1.1 503 Service Unavailable\r\nHillfield-Outcome: not-run\r\n'
    b'Hillfield-Step: route\r\nContent-Length: 0\r\n\r\n'
)
ONCE = RequestPlan('till', 'all', 'baker', idempotent=False, deadline=5)
AGAIN = RequestPlan('till', 'all', 'baker', idempotent=True, deadline=5)
SHORT = RequestPlan('till', 'all', 'baker', idempotent=False, deadline=0.05)
# Seconds: long before a sign is expected for real.
SIGN_WITHIN = 0.1
NEVER_PROVEN = 0
MINUTE = 60


class Fate(Enum):
    """Say how far a gate comes with a request."""

    SILENT = auto()
    CLOSES = auto()
    DECLINES = auto()
    ASKS_AND_CLOSES = auto()
    RUNS_AND_CLOSES = auto()
    ANSWERS = auto()


HEAD_ONLY = (Fate.SILENT, Fate.CLOSES, Fate.DECLINES)


FATES = tuple(Fate)


class Gate(RawTarget):
    """Take requests as a node beside a target; `runs` are those begun."""

    def __init__(self, *fates):
        super().__init__()
        self.fates = list(fates)
        self.heads = []
        self.runs = []
        self.pause = float()

    async def exchange(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        fate = self.fates.pop(0)
        if fate in HEAD_ONLY:
            writer.write(DECLINED if fate is Fate.DECLINES else b'')
            await self.stay(fate, reader)
            return False
        if b'100-continue' in head:
            writer.write(GO_ON)
        if fate is Fate.ASKS_AND_CLOSES:
            return False
        self.runs.append(await read_body(head, reader))
        if fate is Fate.RUNS_AND_CLOSES:
            return False
        await asyncio.sleep(self.pause)
        writer.write(OK_ANSWER)
        return True

    async def stay(self, fate, reader):
        if fate is Fate.SILENT and await reader.read():
            self.runs.append(b'without having asked')


async def open_path(path, gates, plan=ONCE, after=NEVER_PROVEN):
    path.plans.plan = plan
    await path.start(
        targets=HopDialect(),
        sign_within=SIGN_WITHIN,
        hand_over_after=after,
    )
    addresses = await asyncio.gather(*(gate.start() for gate in gates))
    path.dispatching.targets = addresses


async def ask(path, gates, raw=POST, plan=ONCE):
    """Send a request by way of these gates; return its answer's head."""
    await open_path(path, gates, plan)
    return (await path.ask(raw))[0]


async def test_the_rest_follows_once_the_gate_asks_for_it(path):
    gate = Gate(Fate.ANSWERS)
    head = await ask(path, [gate])
    assert head.startswith(b'HTTP/1.1 200')
    assert gate.runs == [b'body']
    assert b'Content-Length: 4\r\n' in gate.heads[0]
    assert b'Expect: 100-continue\r\n' in gate.heads[0]
    names = [entry[0] for entry in path.dispatching.seen]
    assert names == ['admit', 'written', 'head', 'finish']


async def test_a_request_without_a_body_is_not_whole_with_its_head(path):
    gate = Gate(Fate.ANSWERS)
    head = await ask(path, [gate], EMPTY)
    assert head.startswith(b'HTTP/1.1 200')
    assert gate.runs == [b'']
    assert b'Transfer-Encoding: chunked\r\n' in gate.heads[0]
    assert b'Content-Length' not in gate.heads[0]


@pytest.mark.parametrize('raw', [POST, EMPTY])
@pytest.mark.parametrize('fate', [Fate.SILENT, Fate.CLOSES])
async def test_what_was_not_handed_over_goes_elsewhere(path, raw, fate):
    gates = (Gate(fate), Gate(Fate.ANSWERS))
    head = await ask(path, gates, raw)
    assert head.startswith(b'HTTP/1.1 200')
    assert not gates[0].runs
    first, second = path.dispatching.observations()
    assert isinstance(first, NothingWritten)
    assert second == Answered(200)


async def test_what_was_declined_before_goes_elsewhere(path):
    gates = (Gate(Fate.DECLINES), Gate(Fate.ANSWERS))
    await ask(path, gates)
    first = path.dispatching.observations()[0]
    assert isinstance(first, Declined)
    assert first.lasting


@pytest.mark.parametrize('fate', [Fate.ASKS_AND_CLOSES, Fate.RUNS_AND_CLOSES])
async def test_what_was_handed_over_is_not_sent_again(path, fate):
    gates = (Gate(fate), Gate(Fate.ANSWERS))
    head = await ask(path, gates)
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert not gates[1].heads
    assert isinstance(path.dispatching.only_observation(), Broken)


async def test_deadline_before_it_was_handed_over_is_not_run(path):
    gate = Gate(Fate.SILENT)
    head = await ask(path, [gate], plan=SHORT)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Outcome: not-run\r\n' in head
    assert path.dispatching.only_observation() == NothingWritten(
        'deadline passed',
    )


async def test_a_connection_that_has_just_answered_is_not_doubted(path):
    gate = Gate(Fate.ANSWERS, Fate.ANSWERS)
    await open_path(path, [gate], after=MINUTE)
    await path.ask(POST)
    await path.ask(POST)
    doubted = [b'100-continue' in head for head in gate.heads]
    assert doubted == [True, False]


async def test_what_may_run_again_was_not_repeated_before_it_is_handed_over(
    path,
):
    """Repeats are few: it was told 502 where they had run out."""
    gates = (Gate(Fate.SILENT), Gate(Fate.ANSWERS))
    head = await ask(path, gates, plan=AGAIN)
    assert head.startswith(b'HTTP/1.1 200')
    assert isinstance(path.dispatching.observations()[0], NothingWritten)


async def test_a_gate_that_has_asked_has_shown_life(path):
    """It may be slow to answer: its way is choked, or its target works."""
    gate = Gate(Fate.ANSWERS)
    gate.pause = 2 * SIGN_WITHIN
    head = await ask(path, [gate], plan=AGAIN)
    assert head.startswith(b'HTTP/1.1 200')
    assert len(gate.runs) == 1


async def ask_and_judge(path, gates, raw):
    """Send a request; what is told of it must be true, and it runs once."""
    before = count_runs(gates)
    answer = await path.ask(raw)
    ran = count_runs(gates) - before
    assert ran <= 1
    untrue = b'Hillfield-Outcome: not-run' if ran else b'HTTP/1.1 200'
    assert untrue not in answer[0]


@pytest.mark.parametrize('after', [NEVER_PROVEN, 0.001, MINUTE])
@pytest.mark.parametrize('seed', range(20))
async def test_it_runs_once_at_most_and_what_is_told_is_true(path, seed, after):
    """Three gates whose fates are drawn take ten requests."""
    source = Random(seed)
    gates = [Gate(*draw(source, FATES)) for _ in range(3)]
    await open_path(path, gates, after=after)
    for raw in draw(source, (POST, EMPTY)):
        await ask_and_judge(path, gates, raw)  # noqa: WPS476 in turn


def draw(source, kinds):
    return source.choices(kinds, k=10)


def count_runs(gates):
    return sum(len(gate.runs) for gate in gates)
