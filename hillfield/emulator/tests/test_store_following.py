"""A follower through faults ends with what the store holds."""

import asyncio
from itertools import repeat
from random import Random
from typing import Any

import pytest

from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_memory import MemoryStore
from hillfield.store.following import Follower, FollowSettings
from hillfield.store.paging import Snapshot
from hillfield.store.ports import Change, StoredValue, StoreError
from hillfield.store.retries import RetrySettings

SETTINGS = FollowSettings(
    turn=0.2,
    page=2,
    retries=RetrySettings(first=0.01, longest=0.02, trial=1),
)


class Reader:
    """Keep the highest revision of each key; an empty payload is none."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.held: dict[str, StoredValue] = {}
        self.errors: list[StoreError] = []
        self.snapshots = 0

    @property
    def present(self) -> dict[str, bytes]:
        entries = self.held.values()
        return {entry.key: entry.payload for entry in entries if entry.payload}

    async def run(self) -> None:
        follower = Follower(self.store, '/', SETTINGS, Random(1))
        async for followed in follower.follow():
            self.take(followed)

    def take(self, followed: Any) -> None:
        if isinstance(followed, StoreError):
            self.errors.append(followed)
        elif isinstance(followed, Snapshot):
            self.snapshots += 1
            found = {entry.key for entry in followed.entries}
            for key in set(self.held) - found:
                self.adopt(StoredValue(key, followed.revision, b''))
            for entry in followed.entries:
                self.adopt(entry)
        else:
            self.adopt(followed)

    def adopt(self, entry: StoredValue) -> None:
        held = self.held.get(entry.key)
        if held is None or entry.revision >= held.revision:
            self.held[entry.key] = entry

    async def catch_up(self) -> None:
        """Wait until it holds what the store holds; hangs if it never does."""
        while self.present != await read(self.store):
            await asyncio.sleep(0.01)


async def read(store: MemoryStore) -> dict[str, bytes]:
    page = (await store.read_range('/', '', 0)).ok
    return {entry.key: entry.payload for entry in page.entries}


async def write(store: MemoryStore, random: Random) -> None:
    changes = []
    for key in random.sample(['/a', '/b', '/c', '/d', '/e'], 2):
        found = (await store.get(key)).ok  # noqa: WPS476 - one by one
        payload = random.choice([b'', b'%d' % random.randrange(100)])
        expected = found.revision if found else 0
        changes.append(Change(key, expected, payload))
    await store.swap(tuple(changes))


class HangingStore(MemoryStore):
    """Have a first watch that looks quiet for ever."""

    def __init__(self) -> None:
        super().__init__()
        self.hung = False

    async def watch(self, prefix, since):
        if not self.hung:
            self.hung = True
            await asyncio.Event().wait()
        async for change in super().watch(prefix, since):
            yield change


@pytest.mark.parametrize('seed', range(6))
async def test_ends_with_what_the_store_holds(seed):
    random = Random(seed)
    store = MemoryStore(history_limit=6)
    reader = Reader(store)
    following = asyncio.ensure_future(reader.run())
    for _ in range(30):
        for burst in repeat(random, random.randrange(6)):
            await write(store, burst)  # noqa: WPS476 - one by one
        faults = StoreFaults(
            outage=random.choice([Outage.NONE, Outage.UNAVAILABLE]),
            stale_reads=random.choice([0, 1]),
            stale_by=2,
        )
        await store.set_faults(faults)  # noqa: WPS476 - one by one
        await asyncio.sleep(random.uniform(0, 0.01))  # noqa: WPS476
        await store.set_faults(StoreFaults())  # noqa: WPS476
    await store.set_faults(StoreFaults())
    await reader.catch_up()
    following.cancel()


async def test_goes_on_after_an_outage_without_reading_anew():
    store = MemoryStore()
    reader = Reader(store)
    following = asyncio.ensure_future(reader.run())
    await write(store, Random(1))
    await reader.catch_up()
    await store.set_faults(StoreFaults(outage=Outage.UNAVAILABLE))
    while len(reader.errors) < 3:
        await asyncio.sleep(0.01)  # noqa: WPS476
    await store.set_faults(StoreFaults())
    await write(store, Random(2))
    await reader.catch_up()
    assert reader.snapshots == 1
    following.cancel()


async def test_quiet_watch_that_is_broken_is_replaced():
    store = HangingStore()
    reader = Reader(store)
    following = asyncio.ensure_future(reader.run())
    while not store.hung:
        await asyncio.sleep(0.01)  # noqa: WPS476
    await store.swap((Change('/a', 0, b'x'),))
    await reader.catch_up()
    assert reader.snapshots == 1
    following.cancel()


async def test_compacted_history_is_read_anew():
    store = MemoryStore(history_limit=2)
    reader = Reader(store)
    following = asyncio.ensure_future(reader.run())
    await store.swap((Change('/a', 0, b'x'),))
    await reader.catch_up()
    await store.set_faults(StoreFaults(outage=Outage.UNAVAILABLE))
    while not reader.errors:
        await asyncio.sleep(0.01)  # noqa: WPS476
    store.state.faults = StoreFaults()
    await store.swap((Change('/a', 2, b''),))
    for key in ('/b', '/c', '/d', '/e'):
        await store.swap((Change(key, 0, b'y'),))  # noqa: WPS476
    await reader.catch_up()
    assert reader.snapshots == 2
    assert '/a' not in reader.present
    following.cancel()
