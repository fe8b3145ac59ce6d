"""Persistence of the departures of the host's targets."""

from asyncio import Task, create_task, wait
from collections.abc import Callable, Mapping
from typing import Final

from expression import Result
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from hillfield.clocks import monotonic
from hillfield.announcements.departures import DEPARTURE_SECONDS, Departure
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.core import Core
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

# Seconds for which the acknowledgement of a departure waits for the store: a
# target takes an answer that comes later than 1 s for none.
ACKNOWLEDGEMENT_SECONDS: Final = 0.8
# Seconds between attempts to read or to write, the longest between readings,
# and their part of the time since the first one: soon after a start a target
# that has left may still serve, and in a long outage calls are dear.
RETRY_INTERVAL: Final = 0.2
MAXIMUM_BACKOFF: Final = 8.0
BACKOFF_PART: Final = 0.25
# Seconds between readings while the store answers other nodes.
ANSWERING_INTERVAL: Final = 1.0


# Called with all departures of this host before one is acknowledged.
DepartureListener = Callable[[Mapping[str, int]], None]


class DepartureStorage:
    """Keep the departures that this node acknowledges in the store.

    They are written, under one key a host, before they are acknowledged, and
    read when the node starts: an acknowledgement binds also the next node on
    the host, and all nodes may end at the same moment. A departure costs two
    calls to the store, the start of a node one. `on_departure` tells other
    nodes, which the next node on the host asks if the store does not answer.
    """

    def __init__(
        self,
        prefix: str,
        host: str,
        store: Store,
        tracker: IncarnationTracker,
        journal: Journal,
    ) -> None:
        """Prepare; `run` reads what the node before has written."""
        self.on_departure: DepartureListener = _ignore_departures
        self._prefix = prefix
        self._key = f'{prefix}{host}'
        self._store = store
        self.tracker = tracker
        self._journal = journal
        self._revision = 0
        self._stored: dict[str, int] = {}
        self._writing: Task[None] | None = None

    async def run(self, core: Core) -> None:
        """Read the departures; repeat until the store answers.

        What the node before has stored ends with its lease.
        """
        began = monotonic()
        ends = began + DEPARTURE_SECONDS
        tried_at = began
        while tried_at < ends and not await self._read():
            due = monotonic() + _compute_backoff(monotonic() - began)
            while monotonic() < due and not _is_answering(core, tried_at):
                await get_shared_timer().sleep_for(RETRY_INTERVAL)
            tried_at = monotonic()

    async def keep(self, name: str) -> bool:
        """Return whether the store has the departure of a target, if it leaves.

        Write all departures first where it has not.
        """
        if name not in self.tracker.departures.starts:
            return True
        self.on_departure(self.tracker.departures.starts)
        end = monotonic() + ACKNOWLEDGEMENT_SECONDS
        while not self._is_kept() and monotonic() < end:
            if self._writing is None or self._writing.done():
                self._writing = create_task(self._write())
            await wait((self._writing,), timeout=end - monotonic())
        return self._is_kept()

    async def read_of(
        self, host: str
    ) -> Result[tuple[Departure, ...], StoreError]:
        """Read the departures that the node of another host has written."""
        read = await self._store.get(f'{self._prefix}{host}')
        return read.map(self._decode)

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
        granted = await self._store.grant(int(DEPARTURE_SECONDS))
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
        self._stored = {row.name: row.born for row in self._decode(stored)}
        self.tracker.restore(monotonic(), self._stored)
        if self._stored:
            self._record(EventCode.DEPARTURES_RESTORED, ', '.join(self._stored))

    def _decode(self, stored: StoredValue | None) -> tuple[Departure, ...]:
        if stored is None:
            return ()
        try:
            return decode(stored.payload, type=tuple[Departure, ...])
        except MsgspecError as malformed:
            self._record(EventCode.DEPARTURES_NOT_STORED, str(malformed))
            return ()

    def _record_failure(self, error: StoreError) -> None:
        self._record(
            EventCode.DEPARTURES_NOT_STORED, f'{error.step}: {error.detail}'
        )

    def _record(self, code: EventCode, detail: str) -> None:
        self._journal.record(Occurrence(code, detail=detail))


def _compute_backoff(elapsed: float) -> float:
    """Return the seconds between readings, so long after the first one."""
    return min(max(RETRY_INTERVAL, BACKOFF_PART * elapsed), MAXIMUM_BACKOFF)


def _is_answering(core: Core, tried_at: float) -> bool:
    """Return whether the store has answered another node since then."""
    long_ago = monotonic() - tried_at >= ANSWERING_INTERVAL
    return long_ago and core.own.confirmed > tried_at


def _ignore_departures(starts: Mapping[str, int]) -> None:
    """Do nothing: no other node is told."""


def _ignore(answer: object) -> None:
    """Return None: only whether there was an error matters."""
