"""Implement the store's port in memory, for tests of other parts."""

from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from time import monotonic
from typing import Any, Final

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_history import HISTORY_LIMIT
from hillfield.emulator.store_state import StoreState
from hillfield.emulator.store_values import Refusal, Span, Transaction
from hillfield.emulator.store_wire import (
    read_lookup,
    read_transaction,
    write_change,
    write_finished,
    write_reading,
)
from hillfield.store.counters import CallKind
from hillfield.store.gateway_messages import (
    build_range,
    build_swap,
    read_events,
    read_page,
    read_swap,
)
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    Page,
    StoredValue,
    StoreError,
)
from hillfield.store.wire import RangeRequest
from hillfield.store.wire_transactions import TransactionResponse

PEER: Final = 'memory'
SETTLE_SECONDS: Final = 0.05
DOWN: Final = 'down'
BEHIND: Final = 'the store is behind the revision asked for'
NO_ANSWER: Final = 'no answer'
SETTLE: Final = timedelta(seconds=SETTLE_SECONDS)


class MemoryStore:
    """Implement `Store` over the stand-in's core without sockets.

    `state.faults` brings faults about; `clock` says when leases are over.
    Two instances may share one `state`.
    """

    def __init__(
        self,
        clock: Callable[[], float] = monotonic,
        history_limit: int = HISTORY_LIMIT,
        state: StoreState | None = None,
    ) -> None:
        """Start empty, or over a shared state."""
        self.state = state or StoreState(clock, history_limit)

    async def set_faults(self, faults: StoreFaults) -> None:
        """Have these faults from now on, and no others."""
        self.state.faults = faults
        self.state.changed.notify_all()

    async def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Read one key."""
        page = self._read(CallKind.GET, RangeRequest(key=key.encode()))
        return page.map(
            lambda found: found.entries[0] if found.entries else None,
        )

    async def read_range(
        self,
        prefix: str,
        after: str,
        limit: int,
        *,
        stale: bool = False,
    ) -> Result[Page, StoreError]:
        """Read up to `limit` keys under the prefix that follow `after`."""
        return self._read(
            CallKind.READ_RANGE, build_range(prefix, after, limit)
        )

    async def swap(
        self,
        changes: tuple[Change, ...],
    ) -> Result[Accepted | Conflict, StoreError]:
        """Make all the changes or none."""
        if self._is_down():
            return fail(CallKind.SWAP, DOWN)
        read = read_transaction(build_swap(changes))
        finished = read.bind(self._transact)
        if finished.is_error():
            return fail(CallKind.SWAP, finished.error.message)
        if self.state.takes_answer():
            return fail(CallKind.SWAP, NO_ANSWER, maybe_done=True)
        return read_swap(finished.ok).map_error(_Failing(CallKind.SWAP))

    async def grant(self, seconds: int) -> Result[int, StoreError]:
        """Open a lease and return its number."""
        if self._is_down():
            return fail(CallKind.GRANT, DOWN)
        lease = self.state.grant(seconds)
        if self.state.takes_answer():
            return fail(CallKind.GRANT, NO_ANSWER, maybe_done=True)
        return Ok(lease.number)

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Keep a lease alive; False when it has lapsed."""
        if self._is_down():
            return fail(CallKind.RENEW, DOWN)
        return Ok(self.state.renew(lease) > 0)

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """End a lease and delete its keys; False when it had lapsed."""
        if self._is_down():
            return fail(CallKind.REVOKE, DOWN)
        revoked = self.state.revoke(lease)
        if self.state.takes_answer():
            return fail(CallKind.REVOKE, NO_ANSWER, maybe_done=True)
        return Ok(revoked)

    async def watch(
        self,
        prefix: str,
        since: int,
    ) -> AsyncIterator[Result[StoredValue, StoreError]]:
        """Yield changes after revision `since`; ends after an error."""
        span = read_lookup(build_range(prefix, '', 0)).span
        while not self._is_down():
            newest = self.state.core.revision
            if since == newest or self.state.faults.silent_watches:
                await self.state.changed.wait(SETTLE)
                self.state.settle()
                continue
            changes = find_changes(self.state, span, since)
            if changes.is_error():
                yield Error(changes.error)
                return
            for change in changes.ok:
                yield Ok(change)
            since = newest
        yield fail(CallKind.WATCH, DOWN)

    def _is_down(self) -> bool:
        return self.state.faults.outage is not Outage.NONE

    def _read(
        self,
        step: CallKind,
        message: RangeRequest,
    ) -> Result[Page, StoreError]:
        if self._is_down():
            return fail(step, DOWN)
        reading = self.state.read(read_lookup(message))
        if reading.is_error():
            return fail(step, reading.error.message)
        page = read_page(write_reading(reading.ok))
        return page.map_error(_Failing(step))

    def _transact(
        self,
        transaction: Transaction,
    ) -> Result[TransactionResponse, Refusal]:
        finished = self.state.transact(transaction)
        revision = self.state.core.revision
        return finished.map(
            lambda done: write_finished(revision, transaction, done),
        )


def find_changes(
    state: StoreState,
    span: Span,
    since: int,
) -> Result[tuple[StoredValue, ...], StoreError]:
    """Return the span's changes after a revision."""
    if since > state.core.revision:
        return fail(CallKind.WATCH, BEHIND)
    found = state.core.history.find(span, since + 1)
    if found.is_error():
        detail = found.error.message
        return Error(
            StoreError('store watch', PEER, detail, compacted=True),
        )
    events = read_events(map(write_change, found.ok))
    return events.map_error(_Failing(CallKind.WATCH))


class _Failing(Struct, frozen=True):
    step: CallKind

    def __call__(self, detail: str) -> StoreError:
        return StoreError(f'store {self.step}', PEER, detail)


def fail(
    step: CallKind,
    detail: str,
    *,
    maybe_done: bool = False,
) -> Result[Any, StoreError]:
    """Build the result of a failed call."""
    return Error(StoreError(f'store {step}', PEER, detail, maybe_done))
