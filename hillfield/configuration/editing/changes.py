"""Make the changes of the store that reach the goals."""

from collections.abc import Mapping
from itertools import groupby
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.editing.goals import Goal, Part, PartKind
from hillfield.configuration.editing.races import STAMPS_KEPT
from hillfield.configuration.editing.snapshots import DecodedSnapshot, Held
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.storage.payloads import encode_stored
from hillfield.configuration.storage.stored import (
    SCHEMA,
    Stamp,
    Stored,
    StoredBucket,
    StoredChanges,
    StoredTemplate,
)
from hillfield.store.ports import Change

CHANGES_A_SEGMENT: Final = 64
TEMPLATE_CHANGES_KEPT: Final = 256
NAMES_KEPT: Final = 32


class Signature(Struct, frozen=True):
    """Identify a change: who makes it, when (wall seconds) and why."""

    change: str
    author: str
    at: float
    note: str

    def stamp(self, names: tuple[str, ...]) -> Stamp:
        """Return the stamp that a value gets; its revision isn't known yet."""
        return Stamp(self.change, self.author, self.at, self.note, names)


def find_missing(
    goals: tuple[Goal, ...], now: DecodedSnapshot
) -> tuple[Goal, ...]:
    """Return the goals that aren't reached."""
    return tuple(goal for goal in goals if now.find(goal) != goal.wanted)


def build_changes(
    goals: tuple[Goal, ...],
    now: DecodedSnapshot,
    segment: str,
    signature: Signature,
) -> tuple[Change, ...]:
    """Return the writes of one transaction, its history included.

    Empty when everything stands as wanted.
    """
    missing = find_missing(goals, now)
    if not missing:
        return ()
    writes = [
        _write(now.held(key), tuple(group), signature)
        for key, group in groupby(sorted(missing, key=_by_key), key=_by_key)
    ]
    record = signature.stamp(_shorten(list(map(str, missing))))
    held = now.held(segment)
    stamps = _append(held, record, _find_limit(goals))
    history = encode_stored(StoredChanges(SCHEMA, stamps))
    return (*writes, Change(segment, held.revision, history))


def rewrite(held: Held) -> Change:
    """Return the write of a history segment as it was read."""
    history = encode_stored(StoredChanges(SCHEMA, held.stamps))
    return Change(held.key, held.revision, history)


def _write(held: Held, goals: tuple[Goal, ...], signature: Signature) -> Change:
    parts = dict(held.parts)
    names = tuple(goal.name for goal in goals)
    for goal in goals:
        if goal.wanted is None:
            parts.pop(goal.name, None)
        else:
            parts[goal.name] = goal.wanted
    stamps = _append(held, signature.stamp(names), STAMPS_KEPT)
    stored = _make_stored(goals[0].kind, parts, stamps)
    return Change(held.key, held.revision, encode_stored(stored))


def _make_stored(
    kind: PartKind,
    parts: Mapping[str, Part],
    stamps: tuple[Stamp, ...],
) -> Stored:
    if kind is PartKind.ACCOUNT:
        accounts = {
            name: part
            for name, part in sorted(parts.items())
            if isinstance(part, ClientAccount)
        }
        return StoredBucket(SCHEMA, stamps, accounts)
    templates = [part for part in parts.values() if isinstance(part, Template)]
    # A removed template stays as a value: a deleted key can't be told from
    # one that never was by whoever reads the store later.
    return StoredTemplate(SCHEMA, stamps, templates[0] if templates else None)


def _find_limit(goals: tuple[Goal, ...]) -> int:
    if any(goal.kind is PartKind.TEMPLATE for goal in goals):
        return TEMPLATE_CHANGES_KEPT
    return CHANGES_A_SEGMENT


def _append(held: Held, stamp: Stamp, limit: int) -> tuple[Stamp, ...]:
    return (*held.stamps, replace(stamp, revision=0))[-limit:]


def _shorten(names: list[str]) -> tuple[str, ...]:
    if len(names) <= NAMES_KEPT:
        return tuple(names)
    left = len(names) - NAMES_KEPT
    return (*names[:NAMES_KEPT], f'{left} more')


def _by_key(goal: Goal) -> str:
    return goal.key
