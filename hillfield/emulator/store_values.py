"""Values that the store stand-in's core takes and returns."""

from msgspec import Struct

from hillfield.store.keys import ANY_KEY


class Record(Struct, frozen=True):
    """Hold one key's value; revisions are those of its writes."""

    key: bytes
    payload: bytes
    created: int
    modified: int
    version: int
    lease: int


class Change(Struct, frozen=True):
    """Hold one event of the history; `before` undoes it."""

    revision: int
    key: bytes
    before: Record | None
    after: Record | None


class Span(Struct, frozen=True):
    r"""Name one key, or keys up to, not including, `end` (b'\0': to the last)."""

    key: bytes
    end: bytes = b''

    def covers(self, key: bytes) -> bool:
        """Tell whether the key lies in the span.

        >>> Span(b'a', b'b').covers(b'az')
        True
        >>> Span(b'a').covers(b'az')
        False
        """
        if not self.end:
            return key == self.key
        if key < self.key:
            return False
        return self.end == ANY_KEY or key < self.end


class Lookup(Struct, frozen=True):
    """Read a span (limit 0: all; revision 0: the newest)."""

    span: Span
    limit: int = 0
    revision: int = 0


class Reading(Struct, frozen=True):
    """Answer a lookup as of a revision.

    `count` also counts what the limit left out.
    """

    revision: int
    records: tuple[Record, ...]
    count: int


class Put(Struct, frozen=True):
    """Write a key (lease 0: none)."""

    key: bytes
    payload: bytes
    lease: int = 0


class Delete(Struct, frozen=True):
    """Delete a key."""

    key: bytes


Operation = Lookup | Put | Delete


class Comparison(Struct, frozen=True):
    """Hold while the key's last write has this revision (0: absent)."""

    key: bytes
    revision: int


class Transaction(Struct, frozen=True):
    """Do `success` if all comparisons hold, else `failure`."""

    comparisons: tuple[Comparison, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...] = ()


class Finished(Struct, frozen=True):
    """Say what a transaction did: one reading an operation."""

    succeeded: bool
    readings: tuple[Reading, ...]


class Refusal(Struct, frozen=True):
    """Refuse a call; `code` is a gRPC status code."""

    code: int
    message: str
    compacted: int = 0
