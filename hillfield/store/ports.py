"""What hillfield needs of the platform's key-value service."""

from collections.abc import AsyncIterator
from typing import Protocol

from expression import Result
from msgspec import Struct

from hillfield.store.counters import CallCounts


class StoredValue(Struct, frozen=True):
    """Hold a value; `revision` is the store's revision of its last write."""

    key: str
    revision: int
    payload: bytes


class Page(Struct, frozen=True):
    """Hold part of a range and the store's revision when it was read."""

    revision: int
    entries: tuple[StoredValue, ...]
    more: bool


class Change(Struct, frozen=True):
    """Write `payload` if the key still has `expected` (0: absent).

    An empty payload deletes. `lease` ties the key to a lease (0: none).
    """

    key: str
    expected: int
    payload: bytes
    lease: int = 0


class Accepted(Struct, frozen=True):
    """Say that all changes took effect at this revision."""

    revision: int


class Conflict(Struct, frozen=True):
    """Say that no change took effect; `current` holds what stands there."""

    current: tuple[StoredValue, ...]


class StoreError(Struct, frozen=True):
    """Say why a call failed; `maybe_done` that a write may have happened.

    `late` says that no answer came in time, `compacted` that a watch asked
    for more history than is kept: only a new reading of the range helps.
    """

    step: str
    peer: str
    detail: str
    maybe_done: bool = False
    compacted: bool = False
    late: bool = False


class Store(Protocol):
    """Reach the platform's service; each method is one call of its rate."""

    async def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Read one key."""

    async def read_range(
        self,
        prefix: str,
        after: str,
        limit: int,
        *,
        stale: bool = False,
    ) -> Result[Page, StoreError]:
        """Read up to `limit` keys under the prefix that follow `after`.

        With `stale` the answer may be some seconds old, where that is
        cheaper.
        """

    async def swap(
        self,
        changes: tuple[Change, ...],
    ) -> Result[Accepted | Conflict, StoreError]:
        """Make all the changes or none."""

    async def grant(self, seconds: int) -> Result[int, StoreError]:
        """Open a lease and return its number."""

    async def renew(self, lease: int) -> Result[bool, StoreError]:
        """Keep a lease alive; False when it has lapsed."""

    async def revoke(self, lease: int) -> Result[bool, StoreError]:
        """End a lease and delete its keys."""

    def watch(
        self,
        prefix: str,
        since: int,
    ) -> AsyncIterator[Result[StoredValue, StoreError]]:
        """Yield changes after revision `since`; ends after an error."""


class OpenStore(Store, Protocol):
    """Be a store that was opened: it counts its calls and can be closed."""

    @property
    def counts(self) -> CallCounts:
        """Return the running totals of calls."""

    def close(self) -> None:
        """Close all connections; cancel whoever waits for a call first."""
