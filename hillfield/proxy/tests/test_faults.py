"""Faults of targets and callers at each byte."""

# The tests and their shared scripts are untyped.
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
    settings = {'idempotent': False, 'deadline': 5} | changes
    return RequestPlan('till', 'all', 'baker', **settings)


def cut_after(raw, reset=False):
    """Return a script that sends these bytes and ends the connection."""

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
async def test_answer_cut_at_each_byte(proxy, cut, reset):
    await proxy.start(cut_after(OK_ANSWER[:cut], reset))
    head, body = await proxy.ask(POST)
    assert b' 503 ' in head
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert json.loads(body)['outcome'] == 'unknown'
    observation = proxy.dispatching.only_observation()
    assert isinstance(observation, Broken)
    assert not observation.forwarded


@pytest.mark.parametrize('cut', range(0, len(CHUNKED), 3))
async def test_chunked_answer_cut_at_each_byte_is_retried(proxy, cut):
    proxy.plans.plan = plan(idempotent=True)
    await proxy.start(cut_after(CHUNKED[:cut]), OK_ANSWER)
    assert (await proxy.ask(GET))[1] == b'ok'
    assert len(proxy.dispatching.observations()) == 2


@pytest.mark.parametrize('cut', range(1, len(POST)))
async def test_request_cut_at_each_byte_is_not_sent(proxy, cut):
    target = await proxy.start()
    reader, writer = await proxy.open()
    writer.write(POST[:cut])
    writer.write_eof()
    assert not await reader.read()
    assert not target.requests
    assert (await proxy.ask(GET))[1] == b'ok'
    assert proxy.server.count_requests() == 0


async def test_chunked_answer_is_forwarded(proxy):
    await proxy.start(CHUNKED)
    assert (await proxy.ask(GET))[1] == b'abcde'


async def test_answer_that_ends_with_its_connection(proxy):
    await proxy.start(cut_after(b'HTTP/1.1 200 OK\r\n\r\nall'))
    assert (await proxy.ask(GET))[1] == b'all'


async def test_answer_cut_after_its_head_was_forwarded_is_visibly_broken(proxy):
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    await proxy.start(cut_after(b'%s90000\r\n%s' % (head, b'a' * 300000)))
    reader, writer = await proxy.open()
    writer.write(GET)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await proxy.read(reader)
    observation = proxy.dispatching.only_observation()
    assert isinstance(observation, Broken)
    assert observation.forwarded
    assert EventCode.ANSWER_INTERRUPTED in proxy.codes()
    writer.close()


async def test_refused_connect_is_not_run(proxy):
    target = await proxy.start()
    target.server.close()
    await target.server.wait_closed()
    head, _ = await proxy.ask(POST)
    assert b'Hillfield-Outcome: not-run\r\n' in head
    assert b'Retry-After: 2\r\n' in head
    observation = proxy.dispatching.only_observation()
    assert isinstance(observation, ConnectFailed)
    assert all(entry[0] != 'written' for entry in proxy.dispatching.calls)


async def test_shed_answer_goes_to_another_target(proxy):
    await proxy.start(SHED, OK_ANSWER)
    assert (await proxy.ask(POST))[1] == b'ok'
    assert proxy.dispatching.observations() == [Shed(2), Answered(200)]
    assert proxy.meter.counted == ['Shed', ('till', Outcome.ANSWERED), True]


async def test_wrong_answer_is_forwarded_if_not_idempotent(proxy):
    await proxy.start(WRONG, OK_ANSWER)
    head, body = await proxy.ask(POST)
    assert head.startswith(b'HTTP/1.1 500 Oops')
    assert body == b'oops'


async def test_wrong_answer_is_retried_if_idempotent(proxy):
    proxy.plans.plan = plan(idempotent=True)
    await proxy.start(WRONG, OK_ANSWER)
    assert (await proxy.ask(POST))[1] == b'ok'


@pytest.mark.parametrize(
    'checks',
    [
        AnswerChecks(required_header='X-Sum'),
        AnswerChecks(minimum_length=3),
        AnswerChecks(required_prefix=b'{'),
    ],
)
async def test_checks_of_the_plan(proxy, checks):
    proxy.plans.plan = plan(checks=checks)
    await proxy.start()
    await proxy.ask(GET)
    observation = proxy.dispatching.only_observation()
    assert observation.wrong


async def test_large_wrong_answer_is_retried(proxy):
    proxy.plans.plan = plan(
        idempotent=True,
        checks=AnswerChecks(required_prefix=b'{'),
    )
    size = 300000
    wrong = b'x' * size
    good = b'{' * size
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    await proxy.start(head + wrong, head + good)
    _, body = await proxy.ask(GET)
    assert body == good
    first, second = proxy.dispatching.observations()
    assert first.wrong
    assert second == Answered(200, forwarded=True)


async def slow_start(head, body, reader, writer):
    writer.write(CHUNKED[:-15])
    await asyncio.sleep(0.03)
    writer.write(CHUNKED[-15:])
    return True


@pytest.mark.parametrize('prefix', [b'', b'abc'])
async def test_slow_answer_is_forwarded_once_it_can_be_checked(proxy, prefix):
    proxy.plans.plan = plan(checks=AnswerChecks(required_prefix=prefix))
    await proxy.start(slow_start, answer_hold=0.01)
    assert (await proxy.ask(GET))[1] == b'abcde'
    assert proxy.dispatching.observations() == [
        Answered(200, forwarded=not prefix),
    ]


async def test_large_answer_under_the_minimum_length_is_wrong(proxy):
    proxy.plans.plan = plan(checks=AnswerChecks(minimum_length=400000))
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n'
    await proxy.start(b'%s%s' % (head, b'x' * 300000))
    await proxy.ask(GET)
    assert proxy.dispatching.only_observation().wrong == 'body of 300000 bytes'


async def test_error_with_a_queued_request_ends_only_that_request(proxy):
    proxy.dispatching.queueing = True
    await proxy.start()
    asking = asyncio.create_task(proxy.ask(POST))
    while not proxy.dispatching.plans:
        await asyncio.sleep(0)
    request = next(iter(proxy.dispatching.plans))
    proxy.server.deliver((proxy.dispatching.build_invalid_refusal(request),))
    assert b' 500 ' in (await asking)[0]


async def test_stray_bytes_never_reach_another_request(proxy):
    target = await proxy.start(OK_ANSWER + OK_ANSWER.replace(b'ok', b'no'))
    assert (await proxy.ask(GET))[1] == b'ok'
    assert (await proxy.ask(GET))[1] == b'ok'
    assert target.connections == 2


async def test_interim_answers_are_dropped(proxy):
    target = await proxy.start(
        b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n%s' % OK_ANSWER,
    )
    head, body = await proxy.ask(GET)
    assert head.startswith(b'HTTP/1.1 200')
    assert body == b'ok'
    await proxy.ask(GET)
    assert target.connections == 2


async def test_deadline_cuts_the_attempt(proxy):
    proxy.plans.plan = plan(deadline=0.05)
    target = await proxy.start(stall)
    head, _ = await proxy.ask(POST)
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert proxy.dispatching.observations() == [TimedOut()]
    await target.closed.wait()


async def test_deadline_in_the_queue_is_not_run(proxy):
    proxy.plans.plan = plan(deadline=0.05)
    proxy.dispatching.queueing = True
    await proxy.start()
    head, _ = await proxy.ask(POST)
    # With 504 the outcome would be unknown, and work that must run once
    # could not be repeated.
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: ' in head
    assert b'Hillfield-Outcome: not-run\r\n' in head


async def test_missing_body_is_not_run(proxy):
    proxy.plans.plan = plan(deadline=0.05)
    target = await proxy.start()
    head, _ = await proxy.ask(POST[:-1])
    assert head.startswith(b'HTTP/1.1 408')
    assert not target.requests


async def test_slow_head_is_refused(proxy):
    await proxy.start(head_timeout=0.01)
    answer = await proxy.ask(POST[:20], end=False)
    assert answer.startswith(b'HTTP/1.1 408')


def find_connection(proxy):
    return next(iter(proxy.server._connections.tasks))


async def test_head_timeout_starts_with_its_first_byte(proxy):
    """A kept-alive connection may be idle for longer than a head may take."""
    await proxy.start(head_timeout=0.01)
    reader, writer = await proxy.open()
    writer.write(GET)
    head = await proxy.read(reader)
    assert b'200' in head[0]
    await asyncio.sleep(0.05)
    connection = find_connection(proxy)
    # Bytes of the next head have arrived in this pass of the event loop.
    connection.stream.received += 1
    connection.sweep(asyncio.get_running_loop().time())
    assert not connection.stream.lingering


async def test_request_received_after_a_refusal_does_not_run(proxy):
    target = await proxy.start()
    reader, writer = await proxy.open()
    await asyncio.sleep(0.01)
    connection = find_connection(proxy)
    writer.write(POST)
    # The head is received, and refused before its reader resumes.
    connection.stream._handle_read()
    connection.stream.refuse(Fault.SLOW_REQUEST.failure('late'))
    answer = await reader.read()
    assert answer.startswith(b'HTTP/1.1 408')
    assert answer.count(b'HTTP/1.1') == 1
    await asyncio.sleep(0.05)
    assert not target.requests


async def test_request_of_disconnected_caller_is_cancelled_at_the_target(proxy):
    target = await proxy.start(stall)
    _, writer = await proxy.open()
    writer.write(POST)
    await target.received.wait()
    writer.close()
    await target.closed.wait()
    assert proxy.dispatching.observations() == [CallerGone()]
    assert EventCode.CALLER_GONE in proxy.codes()


async def test_queued_request_of_disconnected_caller_is_cancelled(proxy):
    proxy.dispatching.queueing = True
    await proxy.start()
    _, writer = await proxy.open()
    writer.write(POST)
    while not proxy.dispatching.plans:
        await asyncio.sleep(0)
    writer.close()
    while proxy.dispatching.calls[-1][0] != 'leave':
        await asyncio.sleep(0)
    assert proxy.server.count_requests() == 0


async def test_queued_request_is_sent_after_the_decision(proxy):
    proxy.dispatching.queueing = True
    target = await proxy.start()
    asking = asyncio.create_task(proxy.ask(POST))
    while not proxy.dispatching.plans:
        await asyncio.sleep(0)
    request = next(iter(proxy.dispatching.plans))
    proxy.server.deliver((proxy.dispatching.send(request, 0),))
    assert (await asking)[1] == b'ok'
    assert len(target.requests) == 1


async def test_decision_on_a_cancelled_request_frees_the_slot(proxy):
    await proxy.start()
    proxy.server.deliver((proxy.dispatching.send('gone', 0),))
    assert proxy.dispatching.observations() == [CallerGone()]


async def test_drain_answers_unfinished_requests(proxy):
    """Guards against a reset without an answer when the node stops."""
    proxy.plans.plan = plan(idempotent=False)
    target = await proxy.start(stall, drain_timeout=0.1)
    asking = asyncio.create_task(proxy.ask(GET))
    await target.received.wait()
    await proxy.server.drain()
    head = (await asking)[0]
    assert b'Hillfield-Outcome: unknown\r\n' in head
    assert proxy.dispatching.observations() == [TimedOut()]


async def test_hedge_wins_and_the_first_attempt_is_cancelled(proxy):
    proxy.plans.plan = plan(idempotent=True, hedge_after=0.01)
    proxy.dispatching.hedging = True
    slow = await proxy.start(stall, OK_ANSWER)
    assert (await proxy.ask(GET))[1] == b'ok'
    await slow.closed.wait()
    assert proxy.dispatching.observations() == [Answered(200), CallerGone()]


@pytest.mark.parametrize('step', ['resolve', 'admit', 'written', 'finish'])
async def test_unexpected_error_ends_one_request_only(proxy, step):
    await proxy.start()
    proxy.dispatching.failing = step
    proxy.plans.failing = step
    head, body = await proxy.ask(GET)
    assert b' 500 ' in head
    assert json.loads(body)['outcome'] == Outcome.UNKNOWN
    assert EventCode.REQUEST_STRAY_ERROR in proxy.codes()
    proxy.dispatching.failing = ''
    proxy.plans.failing = ''
    assert (await proxy.ask(GET))[1] == b'ok'


async def test_unread_request_does_not_run_after_a_broken_answer(proxy):
    """A caller repeats requests that were unread behind a broken answer."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n'
    await proxy.start(cut_after(head + bytes(99999)))
    reader, writer = await proxy.open()
    writer.write(POST + POST)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await proxy.read(reader)
    while proxy.server.count_connections():
        await asyncio.sleep(0)
    assert len(proxy.plans.heads) == 1
    writer.close()


async def test_failure_log_has_the_attempt_summary(proxy):
    target = await proxy.start()
    target.server.close()
    await target.server.wait_closed()
    await proxy.ask(POST)
    detail = proxy.journal.occurrences[-1].detail
    assert detail.startswith('told; route all; ')
    assert detail.endswith('sent 0, not reached 1')
    assert not proxy.meter.routes


async def test_forwarded_failure_log_has_the_attempt_summary(proxy):
    await proxy.start(WRONG)
    head, _ = await proxy.ask(POST)
    assert head.startswith(b'HTTP/1.1 500 ')
    logged = proxy.journal.occurrences[-1]
    assert (logged.code, logged.step) == (
        EventCode.REQUEST_FAILED,
        'relay-answer',
    )
    assert logged.peer
    opening = 'the target answered 500; route all; '
    assert logged.detail.startswith(opening)
    summary = 'declined 0 (0 withheld), sent 1, first after '
    assert summary in logged.detail
