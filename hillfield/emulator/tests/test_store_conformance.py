"""One suite for the adapter against the server and for the memory store."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any

import pytest

from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_memory import MemoryStore
from hillfield.emulator.store_server import StoreServer
from hillfield.store.gateway import GatewayStore
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    Page,
    Store,
    StoredValue,
)
from hillfield.store.store_settings import StoreSettings


@asynccontextmanager
async def open_gateway():
    server = StoreServer(history_limit=20)
    store = GatewayStore(StoreSettings((server.start(),)))
    yield store, server.state, server.set_faults
    store.close()
    await server.stop()


@asynccontextmanager
async def open_memory():
    store = MemoryStore(history_limit=20)
    yield store, store.state, store.set_faults


@pytest.fixture(params=[open_gateway, open_memory])
def opened(request):
    return request.param


async def follow(
    store: Store,
    since: int,
    count: int,
    prefix: str = '/',
) -> list[Any]:
    seen = []
    async for change in store.watch(prefix, since):
        seen.append(change)
        if len(seen) == count:
            break
    return seen


async def fill(store: Store, *keys: str) -> None:
    for key in keys:
        # The order of the revisions is part of the trial.
        await put(store, key)  # noqa: WPS476


async def put(
    store: Store,
    key: str,
    payload: bytes = b'x',
    expected: int = 0,
    lease: int = 0,
) -> Any:
    return await store.swap((Change(key, expected, payload, lease),))


async def test_absent(opened):
    async with opened() as (store, state, faults):
        assert (await store.get('/a')).ok is None
        page = (await store.read_range('/', '', 10)).ok
        assert (page.revision, page.entries, page.more) == (1, (), False)


async def test_swap_all_or_none(opened):
    async with opened() as (store, state, faults):
        both = (Change('/a', 0, b'1'), Change('/b', 0, b'2'))
        assert (await store.swap(both)).ok == Accepted(2)
        again = (Change('/c', 0, b'3'), Change('/b', 0, b'4'))
        conflict = Conflict((StoredValue('/b', 2, b'2'),))
        assert (await store.swap(again)).ok == conflict
        assert (await store.get('/c')).ok is None
        assert (await put(store, '/a', b'5', expected=2)).ok == Accepted(3)
        assert (await store.get('/a')).ok == StoredValue('/a', 3, b'5')


async def test_delete_by_empty_payload(opened):
    async with opened() as (store, state, faults):
        await put(store, '/a')
        assert (await put(store, '/a', b'', expected=2)).ok == Accepted(3)
        assert (await store.get('/a')).ok is None
        assert (await put(store, '/a', b'y', expected=2)).ok == Conflict(())


async def test_pages_of_a_prefix(opened):
    async with opened() as (store, state, faults):
        await fill(store, '/a/1', '/a/2', '/a/3', '/a0', '/b')
        first = (await store.read_range('/a/', '', 2)).ok
        assert [entry.key for entry in first.entries] == ['/a/1', '/a/2']
        assert first.more
        rest = (await store.read_range('/a/', '/a/2', 2)).ok
        assert [entry.key for entry in rest.entries] == ['/a/3']
        assert not rest.more
        everything = (await store.read_range('', '', 9)).ok
        assert len(everything.entries) == 5


async def test_watch_replays_history_and_goes_on(opened):
    async with opened() as (store, state, faults):
        await put(store, '/a')
        await put(store, '/b')
        watching = asyncio.ensure_future(follow(store, 2, 3))
        await asyncio.sleep(0)
        await put(store, '/a', b'', expected=2)
        await put(store, '/c', b'z')
        assert [change.ok for change in await watching] == [
            StoredValue('/b', 3, b'x'),
            StoredValue('/a', 4, b''),
            StoredValue('/c', 5, b'z'),
        ]


async def test_watch_sees_only_its_prefix(opened):
    async with opened() as (store, state, faults):
        await fill(store, '/a/1', '/b/1', '/a/2')
        seen = await follow(store, 0, 2, '/a/')
        assert [change.ok.key for change in seen] == ['/a/1', '/a/2']


async def test_watch_of_compacted_history_is_an_error(opened):
    async with opened() as (store, state, faults):
        await fill(store, *map(str, range(30)))
        seen = await follow(store, 1, 9, '')
        assert seen[0].error.compacted
        assert len(seen) == 1
        newest = state.core.revision
        assert (await follow(store, newest - 1, 1, ''))[0].is_ok()


async def test_watch_from_the_future_is_an_error(opened):
    async with opened() as (store, state, faults):
        seen = await follow(store, 5, 1)
        assert 'behind' in seen[0].error.detail
        assert not seen[0].error.compacted


async def test_lease_ends_with_its_keys(opened):
    async with opened() as (store, state, faults):
        lease = (await store.grant(60)).ok
        await put(store, '/a', lease=lease)
        await put(store, '/b', lease=lease)
        assert (await store.renew(lease)).ok is True
        state.expire_all()
        assert (await store.renew(lease)).ok is False
        seen = await follow(store, 3, 2)
        assert {change.ok.revision for change in seen} == {4}
        assert {change.ok.payload for change in seen} == {b''}


async def test_lease_lapses_by_itself(opened):
    async with opened() as (store, state, faults):
        lease = (await store.grant(1)).ok
        await put(store, '/a', lease=lease)
        seen = await follow(store, 2, 1)
        assert seen[0].ok == StoredValue('/a', 3, b'')
        assert (await put(store, '/b', lease=lease)).is_error()


async def test_revoke(opened):
    async with opened() as (store, state, faults):
        lease = (await store.grant(60)).ok
        await put(store, '/a', lease=lease)
        assert (await store.revoke(lease)).ok is True
        assert (await store.revoke(lease)).ok is False
        assert (await store.get('/a')).ok is None


async def test_lost_answer_leaves_doubt_and_one_effect(opened):
    async with opened() as (store, state, faults):
        # A kept connection first: it must not be used to repeat the write.
        await store.get('/a')
        await faults(StoreFaults(lost_answers=1))
        error = (await put(store, '/a')).error
        assert error.maybe_done
        assert error.step == 'store swap'
        assert (await store.get('/a')).ok == StoredValue('/a', 2, b'x')
        assert state.core.revision == 2


@pytest.mark.parametrize('outage', [Outage.REFUSE, Outage.UNAVAILABLE])
async def test_outage_and_return(opened, outage):
    async with opened() as (store, state, faults):
        await put(store, '/a')
        await faults(StoreFaults(outage=outage))
        assert (await store.get('/a')).is_error()
        assert (await put(store, '/b')).is_error()
        assert (await follow(store, 0, 1))[0].is_error()
        await faults(StoreFaults())
        assert (await store.get('/a')).ok.payload == b'x'
        assert (await store.get('/b')).ok is None


@pytest.mark.parametrize('outage', [Outage.REFUSE, Outage.UNAVAILABLE])
async def test_outage_ends_watches(opened, outage):
    async with opened() as (store, state, faults):
        watching = asyncio.ensure_future(follow(store, 1, 2))
        await put(store, '/a')
        await faults(StoreFaults(outage=outage))
        seen = await watching
        assert seen[-1].is_error()


async def test_stale_read_is_older_also_in_its_revision(opened):
    async with opened() as (store, state, faults):
        await put(store, '/a', b'1')
        await put(store, '/a', b'2', expected=2)
        await faults(StoreFaults(stale_reads=1))
        page = (await store.read_range('/', '', 9)).ok
        assert page == Page(2, (StoredValue('/a', 2, b'1'),), more=False)
        newest = (await store.get('/a')).ok
        assert newest == StoredValue('/a', 3, b'2')


async def test_too_many_changes_are_refused_with_certainty(opened):
    async with opened() as (store, state, faults):
        keys = map(str, range(129))
        many = tuple(Change(key, 0, b'x') for key in keys)
        assert not (await store.swap(many)).error.maybe_done
        twice = (Change('/a', 0, b'1'), Change('/a', 0, b'2'))
        assert not (await store.swap(twice)).error.maybe_done
        assert state.core.revision == 1


async def test_too_large_a_value_is_refused(opened):
    async with opened() as (store, state, faults):
        error = (await put(store, '/a', bytes(1_048_577))).error
        assert not error.maybe_done
        assert (await put(store, '/a', bytes(1_048_576))).is_ok()
