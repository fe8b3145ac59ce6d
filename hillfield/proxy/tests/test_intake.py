"""Many requests that come at once, beside those that run."""

import asyncio
import socket

from hillfield.clocks import monotonic
from hillfield.proxy.intake import ADMITTED_PER_PASS, Intake

GET = b'GET / HTTP/1.1\r\nHost: t\r\nX-Deadline-Ms: 5000\r\n\r\n'
CROWD = 10 * ADMITTED_PER_PASS
HELD = 0.3


async def test_a_crowd_is_not_taken_in_one_pass(path):
    # Answers to what ran lay unread until all of a crowd had been refused.
    await path.start()
    opening = [path.open() for _ in range(CROWD)]
    opened = await asyncio.gather(*opening)
    for _, writer in opened:
        writer.write(GET)
    most = 0
    taken = 0
    while taken < CROWD:
        before = taken
        await asyncio.sleep(0)
        taken = sum(entry[0] == 'admit' for entry in path.dispatching.seen)
        most = max(most, taken - before)
    assert most <= ADMITTED_PER_PASS
    readers = [reader for reader, _ in opened]
    answers = await asyncio.gather(*map(path.read, readers))
    assert {body for _, body in answers} == {b'ok'}
    for _, end in opened:
        end.close()


async def test_a_crowd_comes_in_by_its_order_a_few_in_each_pass():
    intake = Intake()
    came = []

    async def come(number):
        await intake.enter()
        came.append(number)

    crowd = [asyncio.create_task(come(number)) for number in range(CROWD)]
    passes = 0
    while len(came) < CROWD:
        await asyncio.sleep(0)
        passes += 1
    assert came == list(range(CROWD))
    assert passes <= 2 * CROWD / ADMITTED_PER_PASS
    await asyncio.gather(*crowd)


async def test_the_time_before_its_turn_is_taken_from_a_request_s_own(path):
    await path.start()
    path.server._context.intake.enter = hold
    began = monotonic()
    await path.ask(GET)
    _, arrival = path.dispatching.seen[0]
    assert arrival.expires - began < 5 + HELD / 2


async def hold():
    await asyncio.sleep(HELD)


async def test_connections_are_accepted_a_few_in_each_pass(path):
    # A pass that accepted 128 of them read no answer meanwhile.
    await path.start()
    socks = connect_crowd(path.server.address)
    most = 0
    count = 0
    while count < CROWD:
        before = count
        await asyncio.sleep(0)
        count = path.server.count_connections()
        most = max(most, count - before)
    assert most <= ADMITTED_PER_PASS
    for sock in socks:
        sock.close()


async def test_what_waits_to_be_accepted_is_served_before_a_node_stops(path):
    await path.start()
    socks = connect_crowd(path.server.address)
    for sock in socks:
        sock.sendall(GET)
    await path.server.drain()
    assert all(sock.recv(99).startswith(b'HTTP/1.1 200') for sock in socks)
    for done in socks:
        done.close()


def connect_crowd(address):
    """Open connections that wait to be accepted."""
    place = (address.ip, address.port)
    return [socket.create_connection(place) for _ in range(CROWD)]
