"""Persistence of the departures of the host's targets."""

from asyncio import Task, create_task, wait
from typing import Final

from expression import Result
from msgspec import MsgspecError, Struct
from msgspec.msgpack import decode, encode

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.gate import IncarnationTracker
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    Store,
    StoredValue,
    StoreError,
)
from hillfield.timers import get_shared_timer

# Seconds for which a departure is kept: longer than a target goes on serving
# after it, or than a heartbeat of it takes to arrive.
LEASE_SECONDS: Final = 600
# Seconds for which the acknowledgement of a departure waits for the store: a
# target takes an answer that comes later than 1 s for none.
ACKNOWLEDGEMENT_SECONDS: Final = 0.8
# Seconds between attempts to read or to write, the longest between readings,
# and their part of the time since the first one: soon after a start a target
# that has left may still serve, and in a long outage calls are dear.
RETRY_INTERVAL: Final = 0.2
MAXIMUM_BACKOFF: Final = 8.0
BACKOFF_PART: Final = 0.25


class Departure(Struct, frozen=True, array_like=True):
    """Hold that a target leaves; `born` is its start in milliseconds."""

    name: str
    born: int


class DepartureStorage:
    """Keep the departures that this node acknowledges in the store.

    They are written, under one key a host, before they are acknowledged, and
    read when the node starts: an acknowledgement binds also the next node on
    the host, and all nodes may end at the same moment. A departure costs two
    calls to the store, the start of a node one.
    """

    def __init__(
        self,
        key: str,
        store: Store,
        tracker: IncarnationTracker,
        journal: Journal,
    ) -> None:
        """Prepare; `run` reads what the node before has written."""
        self._key = key
        self._store = store
        self.tracker = tracker
        self._journal = journal
        self._revision = 0
        self._stored: dict[str, int] = {}
        self._writing: Task[None] | None = None

    async def run(self) -> None:
        """Read the departures; repeat until the store answers.

        What the node before has stored ends with its lease.
        """
        began = monotonic()
        elapsed = float()
        while elapsed < LEASE_SECONDS and not await self._read():
            elapsed = monotonic() - began
            wait_seconds = max(RETRY_INTERVAL, BACKOFF_PART * elapsed)
            await get_shared_timer().sleep_for(
                min(wait_seconds, MAXIMUM_BACKOFF),
            )

    async def keep(self, name: str) -> bool:
        """Return whether the store has the departure of a target, if it leaves.

        Write all departures first where it has not.
        """
        if name not in self.tracker.departures.starts:
            return True
        end = monotonic() + ACKNOWLEDGEMENT_SECONDS
        while not self._is_kept() and monotonic() < end:
            if self._writing is None or self._writing.done():
                self._writing = create_task(self._write())
            await wait((self._writing,), timeout=end - monotonic())
        return self._is_kept()

    def _is_kept(self) -> bool:
        return self.tracker.departures.starts.items() <= self._stored.items()

    async def _read(self) -> bool:
        read = await self._store.get(self._key)
        if read.is_error():
            self._record_failure(read.error)
            return False
        self._adopt(read.ok)
        return True

    async def _write(self) -> None:
        """Write once; pause after a failure."""
        tried = await self._try_to_write()
        if tried.is_error():
            self._record_failure(tried.error)
            await get_shared_timer().sleep_for(RETRY_INTERVAL)

    async def _try_to_write(self) -> Result[None, StoreError]:
        granted = await self._store.grant(LEASE_SECONDS)
        if granted.is_error():
            return granted.map(_ignore)
        departed = dict(self.tracker.departures.starts)
        rows = tuple(Departure(*row) for row in departed.items())
        change = Change(self._key, self._revision, encode(rows), granted.ok)
        swapped = await self._store.swap((change,))
        if swapped.is_error():
            return swapped.map(_ignore)
        match swapped.ok:
            case Accepted(revision):
                self._revision = revision
                self._stored = departed
            case Conflict(current):
                # The node before has written, or the lease has ended.
                self._adopt(current[0] if current else None)
        return swapped.map(_ignore)

    def _adopt(self, stored: StoredValue | None) -> None:
        """Merge what the store holds into what this node knows."""
        self._revision = 0 if stored is None else stored.revision
        self._stored = {} if stored is None else self._decode(stored)
        self.tracker.restore(monotonic(), self._stored)
        if self._stored:
            self._record(EventCode.DEPARTURES_RESTORED, ', '.join(self._stored))

    def _decode(self, stored: StoredValue) -> dict[str, int]:
        try:
            rows = decode(stored.payload, type=tuple[Departure, ...])
        except MsgspecError as malformed:
            self._record(EventCode.DEPARTURES_NOT_STORED, str(malformed))
            return {}
        return {row.name: row.born for row in rows}

    def _record_failure(self, error: StoreError) -> None:
        self._record(
            EventCode.DEPARTURES_NOT_STORED, f'{error.step}: {error.detail}'
        )

    def _record(self, code: EventCode, detail: str) -> None:
        self._journal.record(Occurrence(code, detail=detail))


def _ignore(answer: object) -> None:
    """Return None: only whether there was an error matters."""
