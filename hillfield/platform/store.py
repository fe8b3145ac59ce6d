"""Reach the platform's store; implements `OpenStore`."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final
from urllib.parse import urlencode

from expression import Error, Ok, Result
from msgspec.json import encode

from hillfield.events import Journal
from hillfield.platform.items import (
    Events,
    Failed,
    Lease,
    Listing,
    Revision,
    StoredItem,
    write_swap,
)
from hillfield.store.counters import CallCounts, CallKind
from hillfield.store.httpcalls import Call, Caller
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    Page,
    StoredValue,
    StoreError,
)
from hillfield.store.store_settings import StoreSettings

# Seconds that a watch waits for an event: each counts as a call. What one
# that fell silent misses is found by reading the key anew.
WATCH_SECONDS: Final = 10.0
WATCH_SLACK: Final = 1.0
# Seconds after which a reading is asked for once more: an answer takes 4 ms.
READ_PATIENCE: Final = 0.5
MILLISECONDS: Final = 1000
ENDED_OR_KEPT: Final = frozenset((HTTPStatus.OK, HTTPStatus.NOT_FOUND))


class PlatformStore:
    """Make the store's calls in the platform's words."""

    def __init__(self, settings: StoreSettings, journal: Journal) -> None:
        """Open nothing yet."""
        self._caller = Caller(settings, journal)

    @property
    def counts(self) -> CallCounts:
        """Return the running totals of calls."""
        return self._caller.counts

    async def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Read one key."""
        path = f'/kv-key?{urlencode({"key": key})}'
        call = Call(CallKind.GET, 'GET', path, patience=READ_PATIENCE)
        answer = await self._caller.send(call)
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.code == HTTPStatus.NOT_FOUND:
            return Ok(None)
        read = self._caller.read(call, answer.ok, StoredItem)
        return read.map(StoredItem.to_value)

    async def read_range(
        self,
        prefix: str,
        after: str,
        limit: int,
        *,
        stale: bool = False,
    ) -> Result[Page, StoreError]:
        """Read keys under the prefix that follow `after`.

        The platform itself bounds a page, so `limit` is not sent.
        """
        asked = {'prefix': prefix}
        if after:
            asked['after'] = after
        if stale:
            asked['serializable'] = '1'
        query = urlencode(asked)
        call = Call(
            CallKind.READ_RANGE,
            'GET',
            f'/kv-range?{query}',
            patience=READ_PATIENCE,
        )
        listing = await self._caller.ask(call, Listing)
        return listing.map(Listing.to_page)

    async def swap(
        self,
        changes: tuple[Change, ...],
    ) -> Result[Accepted | Conflict, StoreError]:
        """Make all the changes or none."""
        body = write_swap(changes)
        call = Call(CallKind.SWAP, 'POST', '/kv-txn', body)
        answer = await self._caller.send(call)
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.code == HTTPStatus.PRECONDITION_FAILED:
            failed = self._caller.read(
                call,
                answer.ok,
                Failed,
                HTTPStatus.PRECONDITION_FAILED,
            )
            return failed.map(Failed.to_conflict)
        done = self._caller.read(call, answer.ok, Revision)
        return done.map(Revision.to_accepted)

    async def grant(self, seconds: int) -> Result[int, StoreError]:
        """Open a lease and return its number."""
        body = encode({'ttlS': seconds})
        call = Call(CallKind.GRANT, 'POST', '/kv-lease', body)
        granted = await self._caller.ask(call, Lease)
        return granted.map(lambda opened: opened.lease)

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Keep a lease alive; False when it has lapsed."""
        call = Call(CallKind.RENEW, 'POST', f'/kv-keep/{lease}', b'')
        return await self._end_or_keep(call)

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """End a lease and delete its keys; False when it had lapsed."""
        call = Call(CallKind.REVOKE, 'DELETE', f'/kv-lease-end/{lease}')
        return await self._end_or_keep(call)

    async def watch(
        self,
        prefix: str,
        since: int,
    ) -> AsyncIterator[Result[StoredValue, StoreError]]:
        """Yield changes after revision `since`; ends after an error."""
        after = since
        while True:
            call = _make_watch(prefix, after)
            with self.counts.watching():
                read = await self._caller.ask(call, Events)
            if read.is_error():
                yield Error(read.error)
                return
            for change in read.ok.events:
                yield Ok(change.to_value())
            after = max(after, read.ok.current)

    def close(self) -> None:
        """Close all connections."""
        self._caller.close()

    async def _end_or_keep(self, call: Call) -> Result[bool, StoreError]:
        answer = await self._caller.send(call)
        if answer.is_error():
            return Error(answer.error)
        code = answer.ok.code
        if code in ENDED_OR_KEPT:
            return Ok(code == HTTPStatus.OK)
        return Error(self._caller.fail(call, f'HTTP {code}', sent=False))


def _make_watch(prefix: str, after: int) -> Call:
    query = urlencode(
        {
            'prefix': prefix,
            'after': after,
            'waitMs': int(WATCH_SECONDS * MILLISECONDS),
        },
    )
    return Call(
        CallKind.WATCH,
        'GET',
        f'/kv-watch?{query}',
        timeout=WATCH_SECONDS + WATCH_SLACK,
    )
