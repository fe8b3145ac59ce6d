"""What the store holds: versioned values with their latest changes."""

from typing import Final

from msgspec import Raw, Struct

from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.templates import Template

SCHEMA: Final = 1


class Stamp(Struct, frozen=True):
    """Say who made a change, when and to what.

    `at` is wall-clock seconds. `revision` is 0 in the newest stamp of a
    value, where the value's own revision stands for it: a writer can't know
    the revision that its write will get; the next writer fills it in.
    """

    change: str
    author: str
    at: float
    note: str
    names: tuple[str, ...]
    revision: int = 0


class StoredSchema(Struct, frozen=True):
    """Hold the one field that all versions of a payload share."""

    schema: int


class StoredTemplate(Struct, frozen=True):
    """Hold one template; None says that it was removed."""

    schema: int
    stamps: tuple[Stamp, ...]
    template: Template | None


class StoredBucket(Struct, frozen=True):
    """Hold the client accounts of one bucket."""

    schema: int
    stamps: tuple[Stamp, ...]
    accounts: dict[str, ClientAccount]


class StoredChanges(Struct, frozen=True):
    """Hold one segment of the history, newest change last."""

    schema: int
    stamps: tuple[Stamp, ...]


class SparseBucket(Struct, frozen=True):
    """Hold the client accounts of one bucket, not yet decoded."""

    accounts: dict[str, Raw]


Stored = StoredTemplate | StoredBucket | StoredChanges
