"""Faults of targets and callers at each byte."""

# Tests are untyped, so are the scripts that they share.
# mypy: disable-error-code="no-untyped-call"

import asyncio
import json

import pytest

from hillfield.events import EventCode
from hillfield.model import AnswerChecks, Outcome, RequestPlan
from hillfield.proxy.failures import Fault
from hillfield.routing.requests import (
    Answered,
    Broken,
    CallerGone,
    ConnectFailed,
    Shed,
    TimedOut,
)

GET = b'GET /fees HTTP/1.1\r\nHost: till\r\n\r\n'
POST = b'POST /c HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nbody'
OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n'
)
SHED = (
    b'HTTP/1.1 503 Busy\r\nHillfield-Outcome: not-run\r\nRetry-After: 2\r\n'
    b'Content-Length: 0\r\n\r\n'
)
WRONG = b'HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops'


def plan(**changes):
    settled = {'idempotent': False, 'deadline': 5} | changes
    return RequestPlan('till', 'all', 'baker', **settled)


def cut_after(raw, reset=False):
    """Return an answer that ends its connection after these bytes."""

    async def answer(head, body, reader, writer):  # noqa: WPS430 a script
        writer.write(raw)
        await writer.drain()
        if reset:
            writer.transport.abort()
        return False

    return answer


async def stall(head, body, reader, writer):
    await reader.read()
    raise ConnectionError


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize('cut', range(len(OK_ANSWER)))
async def test_answer_cut_at_each_byte(path, cut, reset):
    await path.start(cut_after(OK_ANSWER[:cut], reset))
    head, body = await path.ask(POST)
    assert b' 503 ' in head
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert json.loads(body)['outcome'] == 'unknown'
    observation = path.dispatching.only_observation()
    assert isinstance(observation, Broken)
    assert not observation.relayed


@pytest.mark.parametrize('cut', range(0, len(CHUNKED), 3))
async def test_chunked_answer_cut_at_each_byte_is_retried(path, cut):
    path.plans.plan = plan(idempotent=True)
    await path.start(cut_after(CHUNKED[:cut]), OK_ANSWER)
    assert (await path.ask(GET))[1] == b'ok'
    assert len(path.dispatching.observations()) == 2


@pytest.mark.parametrize('cut', range(1, len(POST)))
async def test_request_cut_at_each_byte_is_not_sent(path, cut):
    target = await path.start()
    reader, writer = await path.open()
    writer.write(POST[:cut])
    writer.write_eof()
    assert not await reader.read()
    assert not target.requests
    assert (await path.ask(GET))[1] == b'ok'
    assert path.server.count_requests() == 0


async def test_chunked_answer_is_relayed_whole(path):
    await path.start(CHUNKED)
    assert (await path.ask(GET))[1] == b'abcde'


async def test_answer_that_ends_with_its_connection(path):
    await path.start(cut_after(b'HTTP/1.1 200 OK\r\n\r\nall'))
    assert (await path.ask(GET))[1] == b'all'


async def test_answer_cut_after_its_head_was_relayed_is_visibly_broken(path):
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    await path.start(cut_after(b'%s90000\r\n%s' % (head, b'a' * 300000)))
    reader, writer = await path.open()
    writer.write(GET)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await path.read(reader)
    observation = path.dispatching.only_observation()
    assert isinstance(observation, Broken)
    assert observation.relayed
    assert EventCode.ANSWER_INTERRUPTED in path.codes()
    writer.close()


async def test_refused_connect_is_not_run(path):
    target = await path.start()
    target.server.close()
    await target.server.wait_closed()
    head, _ = await path.ask(POST)
    assert b'Hillfield-Outcome: not-run\r\n' in head
    assert b'Retry-After: 2\r\n' in head
    observation = path.dispatching.only_observation()
    assert isinstance(observation, ConnectFailed)
    assert all(entry[0] != 'written' for entry in path.dispatching.seen)


async def test_shed_answer_goes_to_another_target(path):
    await path.start(SHED, OK_ANSWER)
    assert (await path.ask(POST))[1] == b'ok'
    assert path.dispatching.observations() == [Shed(2), Answered(200)]
    assert path.meter.counted == ['Shed', ('till', Outcome.ANSWERED), True]


async def test_wrong_answer_is_relayed_when_it_may_not_repeat(path):
    await path.start(WRONG, OK_ANSWER)
    head, body = await path.ask(POST)
    assert head.startswith(b'HTTP/1.1 500 Oops')
    assert body == b'oops'


async def test_wrong_answer_is_retried_when_idempotent(path):
    path.plans.plan = plan(idempotent=True)
    await path.start(WRONG, OK_ANSWER)
    assert (await path.ask(POST))[1] == b'ok'


@pytest.mark.parametrize(
    'checks',
    [
        AnswerChecks(required_header='X-Sum'),
        AnswerChecks(minimum_length=3),
        AnswerChecks(required_prefix=b'{'),
    ],
)
async def test_checks_of_the_plan(path, checks):
    path.plans.plan = plan(checks=checks)
    await path.start()
    await path.ask(GET)
    observation = path.dispatching.only_observation()
    assert observation.wrong


async def test_large_wrong_answer_is_retried(path):
    path.plans.plan = plan(
        idempotent=True,
        checks=AnswerChecks(required_prefix=b'{'),
    )
    size = 300000
    wrong = b'x' * size
    good = b'{' * size
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    await path.start(head + wrong, head + good)
    _, body = await path.ask(GET)
    assert body == good
    first, second = path.dispatching.observations()
    assert first.wrong
    assert second == Answered(200, relayed=True)


async def slow_start(head, body, reader, writer):
    writer.write(CHUNKED[:-15])
    await asyncio.sleep(0.03)
    writer.write(CHUNKED[-15:])
    return True


@pytest.mark.parametrize('prefix', [b'', b'abc'])
async def test_slow_answer_is_relayed_once_its_checks_are_sure(path, prefix):
    path.plans.plan = plan(checks=AnswerChecks(required_prefix=prefix))
    await path.start(slow_start, answer_hold=0.01)
    assert (await path.ask(GET))[1] == b'abcde'
    assert path.dispatching.observations() == [
        Answered(200, relayed=not prefix),
    ]


async def test_large_answer_under_the_minimum_length_is_wrong(path):
    path.plans.plan = plan(checks=AnswerChecks(minimum_length=400000))
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n'
    await path.start(b'%s%s' % (head, b'x' * 300000))
    await path.ask(GET)
    assert path.dispatching.only_observation().wrong == 'body of 300000 bytes'


async def test_error_with_a_queued_request_is_its_own(path):
    path.dispatching.queueing = True
    await path.start()
    asking = asyncio.create_task(path.ask(POST))
    while not path.dispatching.plans:
        await asyncio.sleep(0)
    request = next(iter(path.dispatching.plans))
    path.server.deliver((path.dispatching.refuse_wrongly(request),))
    assert b' 500 ' in (await asking)[0]


async def test_stray_bytes_never_reach_another_request(path):
    target = await path.start(OK_ANSWER + OK_ANSWER.replace(b'ok', b'no'))
    assert (await path.ask(GET))[1] == b'ok'
    assert (await path.ask(GET))[1] == b'ok'
    assert target.connections == 2


async def test_interim_answers_are_dropped(path):
    target = await path.start(
        b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n%s' % OK_ANSWER,
    )
    head, body = await path.ask(GET)
    assert head.startswith(b'HTTP/1.1 200')
    assert body == b'ok'
    await path.ask(GET)
    assert target.connections == 2


async def test_deadline_cuts_the_attempt(path):
    path.plans.plan = plan(deadline=0.05)
    target = await path.start(stall)
    head, _ = await path.ask(POST)
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert path.dispatching.observations() == [TimedOut()]
    await target.closed.wait()


async def test_deadline_in_the_queue_is_not_run(path):
    path.plans.plan = plan(deadline=0.05)
    path.dispatching.queueing = True
    await path.start()
    head, _ = await path.ask(POST)
    # 504 would promise nothing, and work that runs once could not come again.
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: ' in head
    assert b'Hillfield-Outcome: not-run\r\n' in head


async def test_body_that_never_comes_is_not_run(path):
    path.plans.plan = plan(deadline=0.05)
    target = await path.start()
    head, _ = await path.ask(POST[:-1])
    assert head.startswith(b'HTTP/1.1 408')
    assert not target.requests


async def test_slow_head_is_refused(path):
    await path.start(head_timeout=0.01)
    answer = await path.ask(POST[:20], end=False)
    assert answer.startswith(b'HTTP/1.1 408')


def find_connection(path):
    return next(iter(path.server._connections.tasks))


async def test_a_head_is_timed_from_its_first_byte(path):
    """A kept connection rests longer than a head may take."""
    await path.start(head_timeout=0.01)
    reader, writer = await path.open()
    writer.write(GET)
    head = await path.read(reader)
    assert b'200' in head[0]
    await asyncio.sleep(0.05)
    connection = find_connection(path)
    # Bytes of the next head have come in this turn of the loop.
    connection.stream.received += 1
    connection.sweep(asyncio.get_running_loop().time())
    assert not connection.stream.lingering


async def test_what_comes_after_a_refusal_does_not_run(path):
    target = await path.start()
    reader, writer = await path.open()
    await asyncio.sleep(0.01)
    connection = find_connection(path)
    writer.write(POST)
    # The head is taken in, and refused before its reader goes on.
    connection.stream._handle_read()
    connection.stream.refuse(Fault.SLOW_REQUEST.failure('late'))
    answer = await reader.read()
    assert answer.startswith(b'HTTP/1.1 408')
    assert answer.count(b'HTTP/1.1') == 1
    await asyncio.sleep(0.05)
    assert not target.requests


async def test_caller_that_leaves_is_cancelled_at_the_target(path):
    target = await path.start(stall)
    _, writer = await path.open()
    writer.write(POST)
    await target.got.wait()
    writer.close()
    await target.closed.wait()
    assert path.dispatching.observations() == [CallerGone()]
    assert EventCode.CALLER_GONE in path.codes()


async def test_caller_that_leaves_the_queue(path):
    path.dispatching.queueing = True
    await path.start()
    _, writer = await path.open()
    writer.write(POST)
    while not path.dispatching.plans:
        await asyncio.sleep(0)
    writer.close()
    while path.dispatching.seen[-1][0] != 'leave':
        await asyncio.sleep(0)
    assert path.server.count_requests() == 0


async def test_queued_request_is_sent_when_told(path):
    path.dispatching.queueing = True
    target = await path.start()
    asking = asyncio.create_task(path.ask(POST))
    while not path.dispatching.plans:
        await asyncio.sleep(0)
    request = next(iter(path.dispatching.plans))
    path.server.deliver((path.dispatching.send(request, 0),))
    assert (await asking)[1] == b'ok'
    assert len(target.requests) == 1


async def test_verdict_on_a_gone_request_frees_the_slot(path):
    await path.start()
    path.server.deliver((path.dispatching.send('gone', 0),))
    assert path.dispatching.observations() == [CallerGone()]


async def test_drain_answers_what_it_can_not_finish(path):
    """A caller of a node that stopped got a reset and no answer at all."""
    path.plans.plan = plan(idempotent=False)
    target = await path.start(stall, drain_timeout=0.1)
    asking = asyncio.create_task(path.ask(GET))
    await target.got.wait()
    await path.server.drain()
    head = (await asking)[0]
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert path.dispatching.observations() == [TimedOut()]


async def test_hedge_wins_and_the_loser_is_cut(path):
    path.plans.plan = plan(idempotent=True, hedge_after=0.01)
    path.dispatching.hedging = True
    slow = await path.start(stall, OK_ANSWER)
    assert (await path.ask(GET))[1] == b'ok'
    await slow.closed.wait()
    assert path.dispatching.observations() == [Answered(200), CallerGone()]


@pytest.mark.parametrize('step', ['resolve', 'admit', 'written', 'finish'])
async def test_stray_error_ends_one_request_only(path, step):
    await path.start()
    path.dispatching.failing = step
    path.plans.failing = step
    head, body = await path.ask(GET)
    assert b' 500 ' in head
    assert json.loads(body)['outcome'] == Outcome.UNKNOWN
    assert EventCode.REQUEST_STRAY_ERROR in path.codes()
    path.dispatching.failing = ''
    path.plans.failing = ''
    assert (await path.ask(GET))[1] == b'ok'


async def test_what_came_before_the_end_does_not_run_after_it(path):
    """A caller asks anew for what lay unread behind a broken answer."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n'
    await path.start(cut_after(head + bytes(99999)))
    reader, writer = await path.open()
    writer.write(POST + POST)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await path.read(reader)
    while path.server.count_connections():
        await asyncio.sleep(0)
    assert len(path.plans.heads) == 1
    writer.close()


async def test_a_failure_tells_its_request_s_course(path):
    target = await path.start()
    target.server.close()
    await target.server.wait_closed()
    await path.ask(POST)
    detail = path.journal.occurrences[-1].detail
    assert detail.startswith('told; route all; ')
    assert detail.endswith('sent 0, not reached 1')
    assert not path.meter.routes


async def test_a_target_s_own_failure_is_passed_on_with_its_course(path):
    await path.start(WRONG)
    head, _ = await path.ask(POST)
    assert head.startswith(b'HTTP/1.1 500 ')
    told = path.journal.occurrences[-1]
    assert (told.code, told.step) == (EventCode.REQUEST_FAILED, 'relay-answer')
    assert told.peer
    opening = 'its target answered 500; route all; '
    assert told.detail.startswith(opening)
    summary = 'declined 0 (0 held back), sent 1, first after '
    assert summary in told.detail
