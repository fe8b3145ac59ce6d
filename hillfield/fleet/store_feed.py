"""Feed the fleet with the store's entries under some prefixes."""

from asyncio import TaskGroup, gather
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.core import EntrySource
from hillfield.fleet.effects import StoreRead
from hillfield.fleet.service import Fleet
from hillfield.fleet.store_submission import submit_snapshot, submit_value
from hillfield.store.following import Followed, Follower, FollowSettings
from hillfield.store.paging import Snapshot, Span, read_span
from hillfield.store.ports import Store, StoredValue, StoreError

# Seconds between two reports of failed store calls.
ERROR_REPORT_INTERVAL: Final = 10.0
# Entries of one page of a store read.
PAGE_ENTRIES: Final = 256


class FeedSettings(Struct, frozen=True):
    """Name the prefixes of the keys, and how they are watched."""

    prefixes: tuple[str, ...]
    following: FollowSettings = FollowSettings()


class StoreFeed:
    """Submit the store's entries to the fleet while `run` runs."""

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        settings: FeedSettings,
        random: Random,
        journal: Journal,
    ) -> None:
        """Create a feed that makes no store calls yet."""
        self._fleet = fleet
        self._store = store
        self._settings = settings
        self._random = random
        self._journal = journal
        self._reported = -ERROR_REPORT_INTERVAL
        self._loaded: set[str] = set()

    async def run(self) -> None:
        """Watch all prefixes until cancelled."""
        async with TaskGroup() as group:
            for prefix in self._settings.prefixes:
                group.create_task(self._follow(prefix))

    async def load(self) -> bool:
        """Read all prefixes once; return whether all reads succeeded."""
        requested = monotonic()
        loaded = await gather(*map(self._read, self._settings.prefixes))
        if all(loaded):
            self._fleet.state.mark_loaded()
        self._fleet.handle_event(StoreRead(requested if all(loaded) else None))
        return all(loaded)

    def report_error(self, error: StoreError) -> None:
        """Record a failed call, at most one per report interval."""
        now = monotonic()
        if now - self._reported >= ERROR_REPORT_INTERVAL:
            self._reported = now
            self._journal.record(
                Occurrence(
                    EventCode.RELAY_STORE_FAILED,
                    peer=error.peer,
                    step=error.step,
                    detail=error.detail,
                ),
            )

    def _submit(self, prefix: str, followed: Followed, known: int) -> None:
        state = self._fleet.state
        match followed:
            case Snapshot():
                submit_snapshot(state, prefix, followed, known)
                self._loaded.add(prefix)
            case StoredValue():
                submit_value(state, followed, EntrySource.WATCH)
            case StoreError():
                self.report_error(followed)

    async def _read(self, prefix: str) -> bool:
        state = self._fleet.state
        known = state.core.entry_index.newest_under(prefix)
        read = await read_span(self._store, Span(prefix), PAGE_ENTRIES)
        self._submit(prefix, read.error if read.is_error() else read.ok, known)
        return read.is_ok()

    async def _follow(self, prefix: str) -> None:
        follower = Follower(
            self._store,
            prefix,
            self._settings.following,
            self._random,
        )
        state = self._fleet.state
        entry_index = state.core.entry_index
        known = entry_index.newest_under(prefix)
        async for followed in follower.follow():
            self._submit(prefix, followed, known)
            known = entry_index.newest_under(prefix)
            if len(self._loaded) == len(self._settings.prefixes):
                state.mark_loaded()
