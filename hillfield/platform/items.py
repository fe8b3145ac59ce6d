"""Messages of the platform's store."""

from msgspec import Struct, field
from msgspec.json import encode

from hillfield.store.ports import Accepted, Change, Conflict, Page, StoredValue


class StoredItem(Struct, frozen=True):
    """Hold an item as it was written, or that it was deleted.

    `revision` is the store's at the item's last change; the platform writes
    values in base64, which the codec reads into bytes.
    """

    key: str
    revision: int
    payload: bytes = field(name='value', default=b'')
    deleted: bool = False

    def to_value(self) -> StoredValue:
        """Return it as the product's own; an empty payload is a deletion."""
        payload = b'' if self.deleted else self.payload
        return StoredValue(self.key, self.revision, payload)


class Listing(Struct, frozen=True):
    """Hold one page of a range."""

    stored: tuple[StoredItem, ...] = field(name='items')
    more: bool = field(name='hasMore')
    current: int = field(name='currentRev')

    def to_page(self) -> Page:
        """Return it as the product's own."""
        entries = tuple(read.to_value() for read in self.stored)
        return Page(self.current, entries, self.more)


class Events(Struct, frozen=True):
    """Hold what a watch has seen up to the store's revision `current`."""

    events: tuple[StoredItem, ...]
    current: int = field(name='currentRev')


class Failed(Struct, frozen=True):
    """Hold what stands where a condition did not hold; absent keys too."""

    stored: tuple[StoredItem | None, ...] = field(
        name='items',
        default=(),
    )

    def to_conflict(self) -> Conflict:
        """Return it as the product's own."""
        return Conflict(
            tuple(
                read.to_value()
                for read in self.stored
                if read is not None and read.revision
            ),
        )


class Revision(Struct, frozen=True):
    """Hold the revision of a change that was made."""

    revision: int

    def to_accepted(self) -> Accepted:
        """Return it as the product's own."""
        return Accepted(self.revision)


class Lease(Struct, frozen=True):
    """Hold the number of a lease."""

    lease: int


class Condition(Struct, frozen=True):
    """Demand that a key still has a revision (0: that it is absent)."""

    key: str
    revision: int


class Put(Struct, frozen=True):
    """Write a value, tied to a lease (0: none)."""

    key: str
    payload: bytes = field(name='value')
    lease: int


class Swap(Struct, frozen=True):
    """Make all changes under all conditions, or none."""

    conditions: tuple[Condition, ...] = field(name='expectedRev')
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]


def write_swap(changes: tuple[Change, ...]) -> bytes:
    """Return the body of a transaction."""
    return encode(
        Swap(
            tuple(Condition(change.key, change.expected) for change in changes),
            tuple(
                Put(change.key, change.payload, change.lease)
                for change in changes
                if change.payload
            ),
            tuple(change.key for change in changes if not change.payload),
        ),
    )
