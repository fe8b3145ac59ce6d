"""A client that is replaced when a time-out of it does not come."""

import asyncio

from pytest import raises
from tornado.httpclient import HTTPRequest

from hillfield.store.clients import OVERDUE, RenewedClient


class StuckClient:
    """Never answer, and never time out."""

    def __init__(self):
        self.closed = False
        self.asked = 0

    async def fetch(self, request, raise_error):
        self.asked += 1
        await asyncio.Event().wait()

    def close(self):
        self.closed = True


def make_request(seconds):
    return HTTPRequest('http://127.0.0.1', request_timeout=seconds)


class StuckClients(RenewedClient):
    """Open clients that are stuck."""

    def __init__(self):
        self.opened = []
        super().__init__(4, 100)

    def _open(self):
        self.opened.append(StuckClient())
        return self.opened[-1]


def play(story):
    async def act():
        async with asyncio.timeout(10):
            await story()

    asyncio.run(act())


def test_a_late_call_closes_no_client_but_its_own():
    async def story():
        clients = StuckClients()
        first = asyncio.create_task(clients.fetch(make_request(0.1)))
        second = asyncio.create_task(clients.fetch(make_request(0.1)))
        await asyncio.gather(first, second, return_exceptions=True)
        closed = [client.closed for client in clients.opened]
        assert closed == [True, False]

    play(story)


def test_a_call_of_a_client_that_is_closed_ends_with_it():
    async def story():
        clients = StuckClients()
        watch = asyncio.create_task(clients.fetch(make_request(60)))
        with raises(TimeoutError):
            await clients.fetch(make_request(0.1))
        async with asyncio.timeout(OVERDUE):
            with raises(TimeoutError):
                await watch

    play(story)
