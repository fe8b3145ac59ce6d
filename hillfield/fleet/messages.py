"""Messages between nodes; all that crosses a link is one of these.

Each is a frozen data class of msgspec, coded by position. The protocol's
version stands in the envelope: a change of a message here raises it, unless it
only adds fields with defaults at the end, which earlier nodes leave unread.
"""

from msgspec import Struct

from hillfield.configuration.entries import Entry
from hillfield.model import Address, Locality


class Hello(Struct, frozen=True, array_like=True, tag=1):
    """Ask for a link, or grant it when `asks` is False."""

    link: Address
    locality: Locality
    asks: bool


class Goodbye(Struct, frozen=True, array_like=True, tag=2):
    """End a link."""

    reason: str


class Heartbeat(Struct, frozen=True, array_like=True, tag=3):
    """Say that the sender lives, and sum up what it knows in two hashes.

    `newest` is the newest revision of its entries; `read_age_ms` is how many
    milliseconds ago these were known to be all that the store holds (None:
    not known), `read_failed` that it has tried since to read the store.
    """

    state_hash: int
    entries_hash: int
    ready: bool
    newest: int = 0
    read_age_ms: int | None = None
    read_failed: bool = False


class Statement(Struct, frozen=True, array_like=True):
    """Carry what one node says; only the named node writes it.

    `kind` is one of the letters of `hillfield.fleet.records.Kind`. Of two
    statements with one kind and name the higher incarnation and version is
    newer.
    """

    kind: str
    name: str
    incarnation: int
    version: int
    payload: bytes

    @property
    def order(self) -> tuple[int, int]:
        """Return what grows with each newer statement."""
        return self.incarnation, self.version


class Statements(Struct, frozen=True, array_like=True, tag=4):
    """Pass statements on."""

    statements: tuple[Statement, ...]


class Entries(Struct, frozen=True, array_like=True, tag=5):
    """Answer `Want` with entries of the configuration."""

    entries: tuple[Entry, ...]


class Version(Struct, frozen=True, array_like=True):
    """Say which version of a key the sender holds."""

    key: str
    incarnation: int
    version: int


class Have(Struct, frozen=True, array_like=True, tag=6):
    """Announce newly adopted entries; whoever lacks them asks."""

    versions: tuple[Version, ...]


class Want(Struct, frozen=True, array_like=True, tag=7):
    """Ask for the values of keys."""

    subject: int
    keys: tuple[str, ...]


class Hashes(Struct, frozen=True, array_like=True, tag=8):
    """Sum up a subject by bucket, so that differences are found.

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
    """Decline a link and name others to ask instead."""

    links: tuple[Address, ...]


Message = (
    Hello
    | Goodbye
    | Heartbeat
    | Statements
    | Entries
    | Have
    | Want
    | Hashes
    | Versions
    | Referral
)
