import asyncio

from hillfield.link import LinkLayer, LinkSettings, PlannedFault
from hillfield.model import Address

ANY_PORT = Address('127.0.0.1', 0)


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def exchange():
    received: list[bytes] = []
    one = LinkLayer(LinkSettings(ANY_PORT), received.append)
    two = LinkLayer(LinkSettings(ANY_PORT, queue_limit=4), received.append)
    address = one.open().ok
    two.open()
    two.dial(address)
    two.send(address, b'first')
    await until(lambda: received)
    two.faults.cut(address)
    two.send(address, b'cut')
    two.faults.heal()
    two.send(address, b'second')
    await until(lambda: len(received) == 2)
    one.close()
    two.close()
    return received, two.counts


def test_messages_arrive_unless_their_path_is_cut():
    received, counts = asyncio.run(exchange())
    assert received == [b'first', b'second']
    assert (counts.sent, counts.dropped) == (2, 1)


async def fill_queue():
    layer = LinkLayer(LinkSettings(ANY_PORT, queue_limit=4), print)
    unreachable = Address('127.0.0.1', 1)
    layer.dial(unreachable)
    for _ in range(10):
        layer.send(unreachable, b'message')
    layer.close()
    return layer.counts


def test_queue_to_a_silent_peer_is_bounded():
    counts = asyncio.run(fill_queue())
    assert (counts.sent, counts.dropped) == (4, 6)


async def dial_invalid():
    layer = LinkLayer(LinkSettings(ANY_PORT), print)
    for invalid in (('no number', 80), ('', 0), ('127.0.0.1', 65536)):
        layer.dial(Address(*invalid))
        layer.send(Address(*invalid), b'message')
    return layer.counts


def test_invalid_addresses_are_not_dialled():
    counts = asyncio.run(dial_invalid())
    assert (counts.sent, counts.dropped) == (0, 3)


async def listen_twice():
    first = LinkLayer(LinkSettings(ANY_PORT), print)
    second = LinkLayer(LinkSettings(first.open().ok), print)
    refused = second.open()
    first.close()
    return refused


def test_listening_at_a_used_port_fails_with_its_step():
    assert asyncio.run(listen_twice()).error.step == 'listen'


async def send_delayed():
    received: list[bytes] = []
    one = LinkLayer(LinkSettings(ANY_PORT), received.append)
    address = one.open().ok
    plan = (PlannedFault(delay=0.1),)
    two = LinkLayer(LinkSettings(ANY_PORT, faults=plan), received.append)
    two.open()
    two.dial(address)
    two.send(address, b'late')
    sent_at_once = two.counts.sent
    await until(lambda: received)
    one.close()
    two.close()
    return sent_at_once, received


def test_planned_fault_delays_messages():
    assert asyncio.run(send_delayed()) == (0, [b'late'])
