"""The adapter against answers that no good store gives."""

import asyncio
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from socket import socket
from typing import Any

import pytest
from msgspec.structs import replace
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_server import StoreServer
from hillfield.events import EventCode, ListJournal
from hillfield.model import Address
from hillfield.store.gateway import GatewayStore
from hillfield.store.line_feed import LineFeed, wait_for_line
from hillfield.store.ports import Change
from hillfield.store.store_settings import StoreSettings

SWAP = (Change('/a', 0, b'x'),)
SETTINGS = StoreSettings((), call_timeout=0.2, answer_limit=10_000)
BAD_KEY = b64encode(b'\xff').decode()


class Scripted(RequestHandler):
    """Answer everything with one status and one body."""

    def initialize(self, status: int, body: bytes) -> None:
        """Take the script."""
        self.script = (status, body)

    def post(self) -> None:
        """Answer by the script."""
        status, body = self.script
        self.set_status(status)
        self.set_header('Location', '/elsewhere')
        self.finish(body)


@asynccontextmanager
async def open_scripted(status: int, body: bytes) -> AsyncIterator[Any]:
    script = {'status': status, 'body': body}
    server = HTTPServer(Application([('.*', Scripted, script)]))
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    address = Address('127.0.0.1', sockets[0].getsockname()[1])
    journal = ListJournal()
    store = GatewayStore(replace(SETTINGS, addresses=(address,)), journal)
    with closing(store):
        yield store, journal
    server.stop()
    await server.close_all_connections()


@asynccontextmanager
async def open_server(settings: StoreSettings = SETTINGS) -> AsyncIterator[Any]:
    server = StoreServer()
    journal = ListJournal()
    addresses = (*settings.addresses, server.start())
    store = GatewayStore(replace(settings, addresses=addresses), journal)
    with closing(store):
        yield store, server, journal
    await server.stop()


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        b'[]',
        b'<html>',
        b'{"header":',
        b'\xff\xfe',
        b'[' * 9000,
        b'{"header":{"revision":"many"}}',
        b'{"header":{"revision":"99999999999999999999999999"}}x',
        b'{"kvs":[{"key":"***","mod_revision":"2"}]}',
        b'{"kvs":[{"key":"L2E=","mod_revision":"0"}]}',
        b'{"kvs":[{"key":"L2E=","mod_revision":"-4"}]}',
        b'{"kvs":"L2E="}',
        b'{"kvs":[{"key":"%s","mod_revision":"2"}]}' % BAD_KEY.encode(),
        b'{"succeeded":true,"responses":7}',
        b'{"responses":[{"response_range":{"kvs":[{"key":"L2E="}]}}]}',
        b'{"ID":"-4","succeeded":true,"kvs":[{}],"result":5}',
        b' ' * 10_001,
    ],
)
async def test_answer_that_cannot_be_read(body):
    async with open_scripted(200, body) as (store, journal):
        read = await store.read_range('/', '', 5)
        assert read.is_error() or not read.ok.entries
        swapped = await store.swap(SWAP)
        if swapped.is_error():
            assert swapped.error.maybe_done
            assert swapped.error.step == 'store swap'
        else:
            assert swapped.ok.current == ()
        assert (await store.grant(5)).is_error()
        assert (await store.renew(5)).is_error()
        watched = [change async for change in store.watch('/', 0)]
        assert [change.is_error() for change in watched] == [True]


@pytest.mark.parametrize(
    ('status', 'body', 'maybe_done'),
    [
        (400, b'{"code":3,"message":"no"}', False),
        (404, b'nothing here', False),
        (307, b'', True),
        (204, b'', True),
        (500, b'', True),
        (503, b'{"code":14,"message":"timed out"}', True),
    ],
)
async def test_status_tells_whether_a_write_may_have_happened(
    status,
    body,
    maybe_done,
):
    async with open_scripted(status, body) as (store, journal):
        assert (await store.swap(SWAP)).error.maybe_done is maybe_done
        assert not (await store.get('/a')).error.maybe_done


async def test_slow_store_leaves_a_write_in_doubt():
    async with open_server() as (store, server, journal):
        await server.set_faults(StoreFaults(delay=0.5))
        assert (await store.swap(SWAP)).error.maybe_done
        assert not (await store.get('/a')).error.maybe_done
        assert journal.occurrences[0].code is EventCode.STORE_WRITE_IN_DOUBT


async def test_store_that_never_accepts_has_certainly_done_nothing():
    with socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = Address('127.0.0.1', listener.getsockname()[1])
        settings = replace(
            SETTINGS,
            addresses=(address,),
            connect_timeout=0.1,
        )
        # The queue of the listener is one long; what fills it stays there.
        with socket() as first, socket() as second:
            for filler in (first, second):
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            with closing(GatewayStore(settings)) as store:
                assert not (await store.swap(SWAP)).error.maybe_done


async def test_no_address_is_an_error_and_not_an_exception():
    with closing(GatewayStore(SETTINGS)) as store:
        assert not (await store.swap(SWAP)).error.maybe_done
        assert (await store.get('/a')).is_error()
        assert (await read_first(store)).is_error()


async def test_watch_turns_to_the_next_address():
    with socket() as closed:
        closed.bind(('127.0.0.1', 0))
        dead = Address('127.0.0.1', closed.getsockname()[1])
        settings = replace(SETTINGS, addresses=(dead,))
        async with open_server(settings) as (store, server, _):
            assert (await read_first(store)).is_error()
            assert (await store.swap(SWAP)).is_ok()
            assert (await read_first(store)).is_ok()


async def test_next_address_after_a_failure():
    with socket() as closed:
        closed.bind(('127.0.0.1', 0))
        dead = Address('127.0.0.1', closed.getsockname()[1])
        settings = replace(SETTINGS, addresses=(dead,))
        async with open_server(settings) as (store, _, journal):
            assert (await store.get('/a')).error.peer == str(dead)
            assert (await store.get('/a')).is_ok()
            codes = [event.code for event in journal.occurrences]
            assert codes == [EventCode.STORE_DOWN, EventCode.STORE_BACK]


async def test_lost_answer_to_a_read_on_a_kept_connection_is_repeated():
    async with open_server() as (store, server, _):
        await store.get('/a')
        await server.set_faults(StoreFaults(lost_reads=1))
        assert (await store.get('/a')).is_ok()


async def test_calls_are_bounded():
    settings = replace(SETTINGS, concurrent_calls=2, call_timeout=5)
    async with open_server(settings) as (store, server, _):
        await server.set_faults(StoreFaults(delay=0.05))
        swaps = [store.swap(SWAP) for _ in range(5)]
        replies = await asyncio.gather(*swaps)
        refused = [reply for reply in replies if reply.is_error()]
        assert len(refused) == 3
        assert not any(reply.error.maybe_done for reply in refused)
        assert store.counts.calls_in_flight == 0


async def read_first(store: GatewayStore) -> Any:
    return await anext(store.watch('/', 0))


async def test_watches_are_bounded_and_leave_nothing_behind():
    settings = replace(SETTINGS, concurrent_watches=1)
    async with open_server(settings) as (store, server, _):
        waiting = asyncio.ensure_future(read_first(store))
        await asyncio.sleep(0.02)
        assert (await read_first(store)).is_error()
        waiting.cancel()
        await asyncio.wait([waiting])
        await store.get('/a')
        assert store.counts.waiting_watches == 0
        assert server.state.calls.watches.total() == 0
        await store.swap(SWAP)
        assert (await read_first(store)).is_ok()


@pytest.mark.parametrize('turns', range(5))
async def test_cancellation_that_comes_with_a_line_is_kept(turns):
    feed = LineFeed(SETTINGS)
    waiting = asyncio.ensure_future(wait_for_line(feed, 60))
    await take_turns(3)
    feed.take(b'line\n')
    await take_turns(turns)
    cancelled = waiting.cancel()
    await asyncio.wait([waiting])
    assert waiting.cancelled() is cancelled


async def take_turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)  # noqa: WPS476 - one turn of the loop each


async def test_silent_watch_ends():
    settings = replace(SETTINGS, watch_silence_limit=0.05)
    async with open_server(settings) as (store, server, _):
        await server.set_faults(StoreFaults(silent_watches=True))
        await store.swap(SWAP)
        assert 'silent' in (await read_first(store)).error.detail


async def test_watch_that_is_not_read_ends():
    settings = replace(SETTINGS, answer_limit=5000)
    async with open_server(settings) as (store, server, _):
        await store.swap((Change('/a', 0, bytes(9000)),))
        assert 'not read' in (await read_first(store)).error.detail


async def test_outages_follow_each_other_on_one_port():
    async with open_server() as (store, server, _):
        address = server.address
        # Tornado's server stops only once: the second outage did nothing.
        await refuse_and_return(store, server)
        await refuse_and_return(store, server)
        assert server.address == address


async def refuse_and_return(store: Any, server: StoreServer) -> None:
    await server.set_faults(StoreFaults(outage=Outage.REFUSE))
    await server.set_faults(StoreFaults(outage=Outage.REFUSE, delay=1))
    assert 'connect' in (await store.get('/a')).error.detail
    await server.set_faults(StoreFaults())
    assert (await store.get('/a')).is_ok()
