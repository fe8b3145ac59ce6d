"""Read from the store what an edit depends on."""

from itertools import chain
from typing import Final

from expression import Error, Ok, Result

from hillfield.configuration.editing.goals import Goal, PartKind
from hillfield.configuration.editing.outcomes import (
    Reason,
    Refused,
    Unreachable,
)
from hillfield.configuration.editing.snapshots import (
    DecodedSnapshot,
    Held,
    decode_held,
)
from hillfield.configuration.storage.keys import Keys
from hillfield.store.paging import Snapshot, Span, read_span
from hillfield.store.ports import Store, StoredValue, StoreError

PAGE: Final = 256
# More buckets than this are read as a range.
SINGLE_READS: Final = 8
Reading = Result[Snapshot, StoreError]


async def read_all(store: Store, prefix: str) -> Reading:
    """Read all keys under a prefix."""
    return await read_span(store, Span(prefix), PAGE)


async def read_keys(store: Store, prefix: str, keys: list[str]) -> Reading:
    """Read some keys under a prefix, in few calls."""
    if len(keys) > SINGLE_READS:
        ordered = sorted(keys)
        # A key without its last letter sorts before it, with little between.
        after = ordered[0][:-1]
        span = Span(prefix, after, ordered[-1])
        return await read_span(store, span, PAGE)
    found: list[StoredValue] = []
    left = list(keys)
    while left:
        answer = await store.get(left.pop())
        if answer.is_error():
            return Error(answer.error)
        if answer.ok is not None:
            found.append(answer.ok)
    return Ok(Snapshot(0, tuple(found)))


async def read_snapshot(
    store: Store,
    keys: Keys,
    goals: tuple[Goal, ...],
    segment: str,
) -> Result[DecodedSnapshot, Reason]:
    """Read all templates, the goals' buckets and a segment of the history."""
    buckets = {goal.key for goal in goals if goal.kind is PartKind.ACCOUNT}
    # The history first: a change seen there is seen in the parts too.
    history = await read_keys(store, keys.changes, [segment])
    if history.is_error():
        return Error(Unreachable(history.error))
    templates = await read_all(store, keys.templates)
    if templates.is_error():
        return Error(Unreachable(templates.error))
    accounts = await read_keys(store, keys.accounts, sorted(buckets))
    if accounts.is_error():
        return Error(Unreachable(accounts.error))
    return decode_snapshot(keys, (history.ok, templates.ok, accounts.ok))


def decode_snapshot(
    keys: Keys,
    readings: tuple[Snapshot, ...],
) -> Result[DecodedSnapshot, Reason]:
    """Decode what was read; what can't be decoded is refused, not lost."""
    held: dict[str, Held] = {}
    for stored in chain.from_iterable(map(_take_entries, readings)):
        decoded = decode_held(keys, stored)
        if decoded.is_error():
            return Error(Refused((decoded.error,)))
        held[stored.key] = decoded.ok
    # A single key is read without the store's revision.
    known = filter(None, map(_take_revision, readings))
    return Ok(DecodedSnapshot(held, min(known, default=0)))


def _take_entries(found: Snapshot) -> tuple[StoredValue, ...]:
    return found.entries


def _take_revision(found: Snapshot) -> int:
    return found.revision
