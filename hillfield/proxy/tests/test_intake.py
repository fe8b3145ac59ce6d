"""Bursts of requests that arrive beside running ones."""

import asyncio
import socket

from hillfield.clocks import monotonic
from hillfield.proxy.intake import ADMITTED_PER_PASS, Intake

GET = b'GET / HTTP/1.1\r\nHost: t\r\nX-Deadline-Ms: 5000\r\n\r\n'
BURST_SIZE = 10 * ADMITTED_PER_PASS
DELAY = 0.3


async def test_burst_is_not_admitted_in_one_pass(proxy):
    # Answers to running requests stayed unread until a whole burst was refused.
    await proxy.start()
    opening = [proxy.open() for _ in range(BURST_SIZE)]
    opened = await asyncio.gather(*opening)
    for _, writer in opened:
        writer.write(GET)
    most = 0
    admitted = 0
    while admitted < BURST_SIZE:
        before = admitted
        await asyncio.sleep(0)
        admitted = sum(entry[0] == 'admit' for entry in proxy.dispatching.calls)
        most = max(most, admitted - before)
    assert most <= ADMITTED_PER_PASS
    readers = [reader for reader, _ in opened]
    answers = await asyncio.gather(*map(proxy.read, readers))
    assert {body for _, body in answers} == {b'ok'}
    for _, end in opened:
        end.close()


async def test_burst_is_admitted_in_order_a_few_per_pass():
    intake = Intake()
    entered = []

    async def enter_numbered(number):
        await intake.enter()
        entered.append(number)

    tasks = [
        asyncio.create_task(enter_numbered(number))
        for number in range(BURST_SIZE)
    ]
    passes = 0
    while len(entered) < BURST_SIZE:
        await asyncio.sleep(0)
        passes += 1
    assert entered == list(range(BURST_SIZE))
    assert passes <= 2 * BURST_SIZE / ADMITTED_PER_PASS
    await asyncio.gather(*tasks)


async def test_wait_for_admission_counts_towards_the_deadline(proxy):
    await proxy.start()
    proxy.server._context.intake.enter = delay_admission
    began = monotonic()
    await proxy.ask(GET)
    _, arrival = proxy.dispatching.calls[0]
    assert arrival.expires - began < 5 + DELAY / 2


async def delay_admission():
    await asyncio.sleep(DELAY)


async def test_connections_are_accepted_a_few_per_pass(proxy):
    # A pass that accepted 128 connections read no answer meanwhile.
    await proxy.start()
    socks = open_burst(proxy.server.address)
    most = 0
    count = 0
    while count < BURST_SIZE:
        before = count
        await asyncio.sleep(0)
        count = proxy.server.count_connections()
        most = max(most, count - before)
    assert most <= ADMITTED_PER_PASS
    for sock in socks:
        sock.close()


async def test_pending_connections_are_served_before_a_node_stops(proxy):
    await proxy.start()
    socks = open_burst(proxy.server.address)
    for sock in socks:
        sock.sendall(GET)
    await proxy.server.drain()
    assert all(sock.recv(99).startswith(b'HTTP/1.1 200') for sock in socks)
    for pending in socks:
        pending.close()


def open_burst(address):
    """Open connections that wait to be accepted."""
    address_pair = (address.ip, address.port)
    return [socket.create_connection(address_pair) for _ in range(BURST_SIZE)]
