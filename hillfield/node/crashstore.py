"""Persistence of crashing requests, for a restart of the whole fleet."""

from asyncio import gather
from typing import Final

from msgspec import MsgspecError
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from hillfield.clocks import monotonic, read_wall
from hillfield.crashes import ExitRow, Findings, StoredExits
from hillfield.crashes.cases import Case
from hillfield.crashes.registry import list_exits
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.node.crashes import CrashTracker
from hillfield.store.paging import Span, read_span
from hillfield.store.ports import Change, Store, StoredValue, StoreError
from hillfield.timers import get_shared_timer

MILLISECONDS: Final = 1000
PAGE: Final = 256
# Requests written in one round, to bound the load on the store.
CASES_PER_ROUND: Final = 8
# Nodes that write each request; one of them may be partitioned from the store
# or stop.
WRITERS: Final = 2
# Seconds from the first read of the store to the second one.
SECOND_READ_AFTER: Final = 2.5
# Seconds between checks for requests to write, and the longest backoff after
# failed calls.
CHECK_INTERVAL: Final = 0.2
MAXIMUM_BACKOFF: Final = 8.0


class CrashStorage:
    """Keep the requests that all nodes refuse in the store, one key each.

    Two nodes write each request once, and all nodes read them at their start,
    so that they survive a simultaneous stop of all nodes. A request found
    harmful costs two calls to the store, one found harmless again four, and
    the start of a node two stale reads.
    """

    def __init__(
        self,
        cluster: str,
        store: Store,
        tracker: CrashTracker,
        journal: Journal,
    ) -> None:
        """Prepare; `run` reads and writes."""
        self._prefix = f'/hillfield/{cluster}/crashes/'
        self._store = store
        self._tracker = tracker
        self._journal = journal
        self._interval = CHECK_INTERVAL

    async def run(self) -> None:
        """Load the stored requests, then write changes until cancelled.

        They are loaded twice: a stale read costs a tenth of a consistent one
        but may be seconds old, and the writes just before a stop of all nodes
        matter most.
        """
        while not await self.load():
            await self._wait(succeeded=False)
        second_read = monotonic() + SECOND_READ_AFTER
        while True:
            await self._wait(succeeded=await self._keep())
            if monotonic() >= second_read and await self.load():
                second_read = float('inf')

    async def load(self) -> bool:
        """Merge the stored requests; False if the read failed."""
        span = Span(self._prefix, stale=True)
        read = await read_span(self._store, span, PAGE)
        if read.is_error():
            self._record_failure(read.error)
            return False
        for stored in read.ok.entries:
            self._merge_stored(stored)
        return True

    async def _keep(self) -> bool:
        """Write or delete the cases that this node owns; False on failure."""
        unwritten = [
            case
            for case in self._tracker.registry.cases.values()
            if not case.stored and self._is_writer(case)
        ]
        done = await gather(*map(self._write_case, unwritten[:CASES_PER_ROUND]))
        return all(done)

    async def _write_case(self, case: Case) -> bool:
        harmful = case.harmful
        name = case.fingerprint.hex()
        key = f'{self._prefix}{name}'
        if harmful:
            kept = StoredExits(read_wall(), list_exits(monotonic(), case))
            done = await self._change(Change(key, 0, encode(kept)))
        else:
            done = await self._delete(key)
        case.stored = done and case.harmful is harmful
        return done

    def _is_writer(self, case: Case) -> bool:
        return self._tracker.get_rank(case.fingerprint) < WRITERS

    async def _delete(self, key: str) -> bool:
        found = await self._store.get(key)
        if found.is_error():
            self._record_failure(found.error)
            return False
        if found.ok is None:
            return True
        return await self._change(Change(key, found.ok.revision, b''))

    async def _change(self, change: Change) -> bool:
        swapped = await self._store.swap((change,))
        if swapped.is_error():
            self._record_failure(swapped.error)
            return False
        # A conflict means that another node has already written the key.
        return True

    def _merge_stored(self, stored: StoredValue) -> None:
        try:
            kept = decode(stored.payload, type=StoredExits)
        except MsgspecError as malformed:
            self._record(f'{stored.key}: {malformed}')
            return
        elapsed = max(0, read_wall() - kept.written) / MILLISECONDS
        exits = tuple(_age(row, elapsed) for row in kept.exits)
        self._tracker.merge(monotonic(), Findings(exits))
        for row in exits:
            self._tracker.registry.mark_stored(row.fingerprint)

    async def _wait(self, *, succeeded: bool) -> None:
        backoff = min(MAXIMUM_BACKOFF, 2 * self._interval)
        self._interval = CHECK_INTERVAL if succeeded else backoff
        await get_shared_timer().sleep_for(self._interval)

    def _record_failure(self, error: StoreError) -> None:
        self._record(f'{error.step}: {error.detail}')

    def _record(self, detail: str) -> None:
        self._journal.record(
            Occurrence(
                EventCode.CRASHING_REQUEST_NOT_STORED,
                step='remember',
                detail=detail,
            ),
        )


def _age(row: ExitRow, seconds: float) -> ExitRow:
    return replace(row, ago=row.ago + seconds)
