"""The messages that nodes send over links.

Each is a frozen msgspec struct whose fields are encoded by position. A change
of a message requires a new protocol version in the envelope, unless it only
adds fields with defaults at the end, which earlier nodes ignore.
"""

from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.model import Address, Locality


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """Request a link, or grant it if `is_request` is False."""

    link: Address
    locality: Locality
    is_request: bool


class Goodbye(Struct, frozen=True, array_like=True, tag=2):
    """End a link."""

    reason: str


class Heartbeat(Struct, frozen=True, array_like=True, tag=3):
    """Show that the sender is alive, with hashes of its state and entries.

    `newest` is the newest revision of its entries; `read_age_ms` how many
    milliseconds ago these were known to be all that the store holds (None:
    not known); `read_failed` whether a read of the store has failed since.
    """

    state_hash: int
    entries_hash: int
    ready: bool
    newest: int = 0
    read_age_ms: int | None = None
    read_failed: bool = False


class StateUpdate(Struct, frozen=True, array_like=True):
    """Carry a part of one node's state; only that node writes it.

    `kind` is one of the letters of `hillfield.fleet.records.Kind`. Of two
    updates with one kind and name the higher incarnation and version is
    newer.
    """

    kind: str
    name: str
    incarnation: int
    version: int
    payload: bytes

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that is higher for each newer update."""
        return self.incarnation, self.version


class StateUpdates(Struct, frozen=True, array_like=True, tag=4):
    """Carry state updates, the sender's own or forwarded ones."""

    updates: tuple[StateUpdate, ...]


class Entries(Struct, frozen=True, array_like=True, tag=5):
    """Answer a `Want` with configuration entries."""

    entries: tuple[Entry, ...]


class Version(Struct, frozen=True, array_like=True):
    """Name the version of a key that the sender holds."""

    key: str
    incarnation: int
    version: int


class Have(Struct, frozen=True, array_like=True, tag=6):
    """Announce adopted entries, for peers that lack them to request."""

    versions: tuple[Version, ...]


class Want(Struct, frozen=True, array_like=True, tag=7):
    """Request the values of keys."""

    subject: int
    keys: tuple[str, ...]


class Hashes(Struct, frozen=True, array_like=True, tag=8):
    """Carry the hash of each bucket of a subject.

    The peer answers with its versions in up to `limit` differing buckets.
    """

    subject: int
    buckets: tuple[int, ...]
    limit: int


class Versions(Struct, frozen=True, array_like=True, tag=9):
    """List all versions that the sender holds in one bucket."""

    subject: int
    bucket: int
    versions: tuple[Version, ...]


class Referral(Struct, frozen=True, array_like=True, tag=10):
    """Refuse a link and name other nodes to ask instead."""

    links: tuple[Address, ...]


Message = (
    Hello
    | Goodbye
    | Heartbeat
    | StateUpdates
    | Entries
    | Have
    | Want
    | Hashes
    | Versions
    | Referral
)
