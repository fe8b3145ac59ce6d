"""Capacity that a gate reports on its answers, through real sockets."""

from msgspec.structs import replace

from hillfield.gate import HopDialect
from hillfield.model import Outcome, RequestFailure, Step
from hillfield.proxy.dialects import CallerDialect

GET = b'GET / HTTP/1.1\r\nHost: t\r\n\r\n'
FORGED = b'GET / HTTP/1.1\r\nHost: t\r\nHillfield-Room: [1,9,9,0,0]\r\n\r\n'
REPORTED = b'Hillfield-Room: [1,4,0,3,0,0.02,2]\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\nok'
DECLINE = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    b'Hillfield-Outcome: not-run\r\nHillfield-Step: admit\r\n%b\r\n'
)
GATE = CallerDialect(report_capacity=lambda: '[1,5,2,0,0,0,2]')


def list_steps(proxy):
    return [entry[0] for entry in proxy.dispatching.calls]


def list_capacities(proxy):
    return [
        entry[1] for entry in proxy.dispatching.calls if entry[0] == 'capacity'
    ]


async def test_capacity_of_an_answer_is_not_forwarded(proxy):
    await proxy.start(ANSWER % REPORTED, targets=HopDialect())
    head, _ = await proxy.ask(GET)
    assert b'Room' not in head
    report = list_capacities(proxy)[0]
    assert (report.number, report.free, report.waiting) == (4, 0, 3)
    assert (report.wait, report.usable) == (0.02, 2)
    assert report.port == proxy.dispatching.targets[0].port


async def test_capacity_of_a_decline_is_known_before_the_retry(proxy):
    """With outdated reports, retries went to gates that had just declined."""
    proxy.plans.plan = replace(proxy.plans.plan, idempotent=True)
    await proxy.start(DECLINE % REPORTED, ANSWER % b'', targets=HopDialect())
    head, _ = await proxy.ask(GET)
    assert head.startswith(b'HTTP/1.1 200')
    steps = list_steps(proxy)
    assert steps.index('capacity') < steps.index('finish')
    assert len(list_capacities(proxy)) == 1


async def test_answer_with_invalid_capacity_is_forwarded(proxy):
    garbled = b'Hillfield-Room: full\r\n'
    await proxy.start(ANSWER % garbled, targets=HopDialect())
    head, body = await proxy.ask(GET)
    assert body == b'ok'
    assert b'Room' not in head
    assert not list_capacities(proxy)


async def test_forged_capacities_are_ignored(proxy):
    target = await proxy.start(ANSWER % REPORTED)
    head, _ = await proxy.ask(FORGED)
    assert b'Room' not in target.requests[0][0]
    assert b'Room' not in head
    assert not list_capacities(proxy)


async def test_gate_reports_its_own_capacity_only(proxy):
    await proxy.start(ANSWER % REPORTED, callers=GATE)
    head, _ = await proxy.ask(GET)
    assert head.count(b'Hillfield-Room') == 1
    assert b'Hillfield-Room: [1,5,2,0,0,0,2]\r\n' in head


async def test_gate_reports_its_capacity_when_it_declines(proxy):
    proxy.plans.failure = RequestFailure(
        503,
        Outcome.NOT_RUN,
        Step.ADMIT,
        '',
        3999,
        'full',
    )
    await proxy.start(callers=GATE)
    head, _ = await proxy.ask(GET)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Room: [1,5,2,0,0,0,2]\r\n' in head
