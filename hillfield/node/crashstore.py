"""Requests that end targets, kept in the store for a fleet that starts anew."""

from asyncio import gather
from typing import Final

from msgspec import MsgspecError
from msgspec.msgpack import decode, encode
from msgspec.structs import replace

from hillfield.clocks import monotonic, read_wall
from hillfield.crashes import EndRow, Findings, StoredEnds
from hillfield.crashes.cases import Case
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.node.crashes import CrashBook
from hillfield.store.paging import Span, read_span
from hillfield.store.ports import Change, Store, StoredValue, StoreError
from hillfield.timers import find_timer

MILLISECONDS: Final = 1000
PAGE: Final = 256
# Requests that are written at one look: the store's calls are counted.
AT_ONCE: Final = 8
# Nodes that write each request: one may be cut off from the store, or end.
WRITERS: Final = 2
# Seconds after which what was read at the start is read once more.
READ_AGAIN: Final = 2.5
# Seconds between looks at what is to be written, and the longest pause after
# calls that failed.
LOOK_AGAIN: Final = 0.2
LONGEST_PAUSE: Final = 8.0


class CrashMemory:
    """Keep in the store what all nodes refuse, one key a request.

    Two nodes write it, once; all read it at their start. So nothing is
    forgotten when all nodes that know of it end at one moment. Two calls are
    made for a request that is found harmful, four for one that is harmless
    again, and two cheap ones for a start.
    """

    def __init__(
        self,
        cluster: str,
        store: Store,
        book: CrashBook,
        journal: Journal,
    ) -> None:
        """Do nothing yet."""
        self._prefix = f'/hillfield/{cluster}/crashes/'
        self._store = store
        self._book = book
        self._journal = journal
        self._pause = LOOK_AGAIN

    async def run(self) -> None:
        """Read what is kept, then keep it up to date; until cancelled.

        It is read twice: what is read at a tenth of the cost may be seconds
        old, and what was written last before all nodes ended matters most.
        """
        while not await self.recall():
            await self._wait(well=False)
        again = monotonic() + READ_AGAIN
        while True:
            await self._wait(well=await self._keep())
            if monotonic() >= again and await self.recall():
                again = float('inf')

    async def recall(self) -> bool:
        """Take in what the store keeps; False: to be repeated."""
        span = Span(self._prefix, stale=True)
        read = await read_span(self._store, span, PAGE)
        if read.is_error():
            self._note(read.error)
            return False
        for stored in read.ok.entries:
            self._take(stored)
        return True

    async def _keep(self) -> bool:
        """Write or delete what is this node's to tell; False: a call failed."""
        unsettled = [
            case
            for case in self._book.ledger.cases.values()
            if not case.settled and self._writes(case)
        ]
        done = await gather(*map(self._follow, unsettled[:AT_ONCE]))
        return all(done)

    async def _follow(self, case: Case) -> bool:
        harmful = case.harmful
        name = case.fingerprint.hex()
        key = f'{self._prefix}{name}'
        if harmful:
            kept = StoredEnds(read_wall(), case.list_ends(monotonic()))
            done = await self._change(Change(key, 0, encode(kept)))
        else:
            done = await self._delete(key)
        case.settled = done and case.harmful is harmful
        return done

    def _writes(self, case: Case) -> bool:
        return self._book.find_rank(case.fingerprint) < WRITERS

    async def _delete(self, key: str) -> bool:
        found = await self._store.get(key)
        if found.is_error():
            self._note(found.error)
            return False
        if found.ok is None:
            return True
        return await self._change(Change(key, found.ok.revision, b''))

    async def _change(self, change: Change) -> bool:
        swapped = await self._store.swap((change,))
        if swapped.is_error():
            self._note(swapped.error)
            return False
        # A conflict shows that another node has written it already.
        return True

    def _take(self, stored: StoredValue) -> None:
        try:
            kept = decode(stored.payload, type=StoredEnds)
        except MsgspecError as wrong:
            self._record(f'{stored.key}: {wrong}')
            return
        passed = max(0, read_wall() - kept.written) / MILLISECONDS
        ends = tuple(_age(row, passed) for row in kept.ends)
        self._book.take(monotonic(), Findings(ends))
        for row in ends:
            self._book.ledger.settle(row.fingerprint)

    async def _wait(self, *, well: bool) -> None:
        longer = min(LONGEST_PAUSE, 2 * self._pause)
        self._pause = LOOK_AGAIN if well else longer
        await find_timer().pause(self._pause)

    def _note(self, error: StoreError) -> None:
        self._record(f'{error.step}: {error.detail}')

    def _record(self, detail: str) -> None:
        self._journal.record(
            Occurrence(
                EventCode.CRASHING_REQUEST_NOT_STORED,
                step='remember',
                detail=detail,
            ),
        )


def _age(row: EndRow, seconds: float) -> EndRow:
    return replace(row, ago=row.ago + seconds)
