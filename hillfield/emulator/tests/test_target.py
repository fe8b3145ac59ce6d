"""Emulated targets and callers over real sockets."""

import asyncio

import pytest
from msgspec.structs import replace
from tornado.httpclient import AsyncHTTPClient

from hillfield.emulator import (
    Behaviour,
    Call,
    Caller,
    CallerSettings,
    CallKind,
    EmulatedTarget,
    Ending,
    Run,
    ServiceTime,
    TargetSettings,
)
from hillfield.model import TargetState

FAST = TargetSettings('settlement', timing=ServiceTime(0.001, 0))
LOOKUP = CallKind('settlement', 'GET', '/fees', idempotent=True)
CAPTURE = CallKind('settlement', 'POST', '/captures', idempotent=False)


async def try_target(
    settings: TargetSettings,
    kind: CallKind,
    count: int = 1,
    *,
    timeout: float = 0.2,
) -> tuple[tuple[Call, ...], tuple[Run, ...]]:
    target = EmulatedTarget(settings)
    await target.start()
    caller = Caller(
        CallerSettings(
            (target.address,),
            (kind,),
            rate=10_000,
            maximum_calls=count,
            timeout=timeout,
        ),
    )
    calls = await caller.run()
    await target.stop()
    return calls, target.record().runs


def try_behaviour(
    behaviour: Behaviour,
    kind: CallKind = LOOKUP,
) -> tuple[Ending, int]:
    settings = replace(FAST, behaviour=behaviour)
    calls, runs = asyncio.run(try_target(settings, kind))
    return calls[0].ending, len(runs)


@pytest.mark.parametrize('kind', [LOOKUP, CAPTURE])
def test_well_target_gives_each_caller_its_own_whole_answer(kind):
    calls, runs = asyncio.run(try_target(FAST, kind, 10, timeout=5))
    assert all(call.ending is Ending.ANSWERED for call in calls)
    assert len(calls) == 10
    assert all(call.whole and call.own for call in calls)
    assert {run.request for run in runs} == {call.request for call in calls}


@pytest.mark.parametrize(
    ('behaviour', 'ending', 'runs'),
    [
        (Behaviour(stall=1), Ending.CUT, 1),
        (Behaviour(wrong=1), Ending.REFUSED_BY_TARGET, 1),
        (Behaviour(truncate=1), Ending.CUT, 1),
        (Behaviour(reset=1), Ending.CUT, 1),
        (Behaviour(deaf=True), Ending.CUT, 0),
        (Behaviour(mute=True), Ending.CUT, 1),
        (Behaviour(state=TargetState.SHEDDING), Ending.NOT_RUN, 0),
        (Behaviour(deaf=True, only_for='127.9.9.9'), Ending.ANSWERED, 1),
    ],
)
def test_sick_target_spoils_requests_as_told(behaviour, ending, runs):
    seen, ran = try_behaviour(behaviour, CAPTURE)
    assert seen is ending
    assert ran == runs


def test_wrong_answer_of_good_status_is_not_taken_for_its_own():
    settings = replace(FAST, behaviour=Behaviour(wrong=1, wrong_status=200))
    calls, _ = asyncio.run(try_target(settings, LOOKUP))
    assert not calls[0].own


def test_full_target_sheds_and_runs_only_what_it_admits():
    settings = replace(FAST, slots=1, queue=1, timing=ServiceTime(0.2, 0))
    calls, runs = asyncio.run(try_target(settings, CAPTURE, 5, timeout=5))
    endings = [call.ending for call in calls]
    assert endings.count(Ending.NOT_RUN) == 5 - len(runs)
    assert len(runs) < 5


async def refuse_then_return() -> tuple[Ending, Ending]:
    target = EmulatedTarget(FAST)
    await target.start()
    client = AsyncHTTPClient()
    url = f'http://{target.address}/behaviour'
    await client.fetch(url, method='POST', body=b'{"refuse": true}')
    settings = CallerSettings((target.address,), (LOOKUP,), maximum_calls=1)
    while target.listener.is_open:
        await asyncio.sleep(0.01)
    refused = await Caller(settings).run()
    await target.behave(Behaviour())
    answered = await Caller(settings).run()
    await target.stop()
    return refused[0].ending, answered[0].ending


def test_refusing_target_returns_at_the_same_address():
    endings = asyncio.run(refuse_then_return())
    assert endings == (Ending.NO_CONNECTION, Ending.ANSWERED)


async def cancel_one() -> None:
    target = EmulatedTarget(replace(FAST, behaviour=Behaviour(stall=1)))
    await target.start()
    settings = CallerSettings(
        (target.address,),
        (CAPTURE,),
        maximum_calls=1,
        timeout=0.1,
    )
    await Caller(settings).run()
    while target.worker.slots.busy:
        await asyncio.sleep(0.01)
    await target.stop()


def test_slot_is_free_after_a_caller_went_away():
    asyncio.run(asyncio.wait_for(cancel_one(), 10))


async def send_bad_behaviour() -> tuple[int, bytes]:
    target = EmulatedTarget(FAST)
    await target.start()
    answer = await AsyncHTTPClient().fetch(
        f'http://{target.address}/behaviour',
        method='POST',
        body=b'{"slwo": 2}',
        raise_error=False,
    )
    await target.stop()
    return answer.code, answer.body


def test_unknown_behaviour_is_refused():
    status, body = asyncio.run(send_bad_behaviour())
    assert status == 400
    assert b'slwo' in body


async def send_as_it_closes(refuse: bool) -> tuple[Run, ...]:
    """Send a request whose bytes lie unread as the target closes."""
    target = EmulatedTarget(replace(FAST, timing=ServiceTime(1, 0)))
    await target.start()
    listener = target.listener
    reader, writer = await asyncio.open_connection(
        target.address.ip,
        target.address.port,
    )
    # Accepted, so that closing cuts it.
    await asyncio.sleep(0.05)
    writer.write(
        b'POST /captures HTTP/1.1\r\nHost: till\r\nX-Request-Id: a\r\n'
        b'Content-Length: 1\r\n\r\nx',
    )
    await (listener.refuse() if refuse else listener.close())
    await asyncio.gather(reader.read(), return_exceptions=True)
    await target.stop()
    return target.record().runs


@pytest.mark.parametrize('refuse', [False, True])
def test_what_came_before_it_closed_counts_as_begun(refuse: bool) -> None:
    """Its caller can't know whether it ran, so it is told so."""
    runs = asyncio.run(send_as_it_closes(refuse))
    assert [run.request for run in runs] == ['a']
