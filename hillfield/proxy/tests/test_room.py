"""A gate's room on the answers between two nodes, through real sockets."""

from msgspec.structs import replace

from hillfield.gate import HopDialect
from hillfield.model import Outcome, RequestFailure, Step
from hillfield.proxy.dialects import CallerDialect

GET = b'GET / HTTP/1.1\r\nHost: t\r\n\r\n'
FORGED = b'GET / HTTP/1.1\r\nHost: t\r\nHillfield-Room: [1,9,9,0,0]\r\n\r\n'
TOLD = b'Hillfield-Room: [1,4,0,3,0,0.02,2]\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\nok'
DECLINE = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    b'Hillfield-Outcome: not-run\r\nHillfield-Step: admit\r\n%b\r\n'
)
GATE = CallerDialect(tell_room=lambda: '[1,5,2,0,0,0,2]')


def list_steps(path):
    return [entry[0] for entry in path.dispatching.seen]


def list_rooms(path):
    return [entry[1] for entry in path.dispatching.seen if entry[0] == 'room']


async def test_an_answer_tells_its_room_and_the_caller_sees_none(path):
    await path.start(ANSWER % TOLD, targets=HopDialect())
    head, _ = await path.ask(GET)
    assert b'Room' not in head
    told = list_rooms(path)[0]
    assert (told.number, told.free, told.waiting) == (4, 0, 3)
    assert (told.wait, told.usable) == (0.02, 2)
    assert told.port == path.dispatching.targets[0].port


async def test_a_decline_tells_its_room_before_the_next_choice(path):
    """Choices from old reports went to gates that had just declined."""
    path.plans.plan = replace(path.plans.plan, idempotent=True)
    await path.start(DECLINE % TOLD, ANSWER % b'', targets=HopDialect())
    head, _ = await path.ask(GET)
    assert head.startswith(b'HTTP/1.1 200')
    steps = list_steps(path)
    assert steps.index('room') < steps.index('finish')
    assert len(list_rooms(path)) == 1


async def test_an_answer_without_or_with_an_unreadable_room_is_relayed(path):
    garbled = b'Hillfield-Room: full\r\n'
    await path.start(ANSWER % garbled, targets=HopDialect())
    head, body = await path.ask(GET)
    assert body == b'ok'
    assert b'Room' not in head
    assert not list_rooms(path)


async def test_rooms_that_callers_and_targets_forge_are_ignored(path):
    target = await path.start(ANSWER % TOLD)
    head, _ = await path.ask(FORGED)
    assert b'Room' not in target.requests[0][0]
    assert b'Room' not in head
    assert not list_rooms(path)


async def test_a_gate_tells_its_own_room_and_not_what_its_target_says(path):
    await path.start(ANSWER % TOLD, callers=GATE)
    head, _ = await path.ask(GET)
    assert head.count(b'Hillfield-Room') == 1
    assert b'Hillfield-Room: [1,5,2,0,0,0,2]\r\n' in head


async def test_a_gate_tells_its_room_when_it_declines(path):
    path.plans.failure = RequestFailure(
        503,
        Outcome.NOT_RUN,
        Step.ADMIT,
        '',
        3999,
        'full',
    )
    await path.start(callers=GATE)
    head, _ = await path.ask(GET)
    assert head.startswith(b'HTTP/1.1 503')
    assert b'Hillfield-Room: [1,5,2,0,0,0,2]\r\n' in head
