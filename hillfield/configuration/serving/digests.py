"""Sum up which entries a node holds, to compare two nodes cheaply."""

from typing import Final

from msgspec import Struct
from xxhash import xxh32_intdigest, xxh64_intdigest

GROUPS: Final = 32


class KeyRevision(Struct, frozen=True):
    """Name an entry without its payload."""

    key: str
    revision: int


class Digest(Struct, frozen=True):
    """Sum up all entries; equal roots mean equal keys and revisions.

    Where `root` differs, `groups` tells which of the groups of keys differ;
    only their `KeyRevision`s need be exchanged. `newest` is the highest
    revision held.
    """

    root: int
    groups: tuple[int, ...]
    entries: int
    newest: int


def group_of(key: str) -> int:
    """Return the group of a key.

    >>> 0 <= group_of('/hillfield/north/templates/claims') < GROUPS
    True
    """
    return xxh32_intdigest(key.encode('utf-8'), seed=1) % GROUPS


def hash_revision(key: str, revision: int) -> int:
    """Return the hash of one entry; a group's is the XOR of all its own."""
    return xxh64_intdigest(f'{key}@{revision}'.encode())
