"""Index of the configuration entries that are held and that are missing."""

from math import inf
from typing import Final, Protocol

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.fleet.messages import Version
from hillfield.fleet.replication.summary import Summary
from hillfield.model import Address

# Missing entries that are requested at a time.
PULL_WINDOW: Final = 32
# Peers that are asked for an entry before it is dropped until offered again.
PULL_ATTEMPTS: Final = 6
# Peers remembered for one missing entry.
OFFERS_KEPT: Final = 16
MISSING_LIMIT: Final = 8192


class EntryStore(Protocol):
    """Store of the newest valid entry of each key, such as `Replica`."""

    def adopt(self, entry: Entry) -> object:
        """Store an entry unless a newer one of its key is held."""

    def wants(self, key: str, revision: int) -> bool:
        """Return whether an entry of this revision would be adopted."""

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""


class MissingEntry(Struct, frozen=True):
    """Hold a newer revision of a key that peers have and this node lacks.

    `offers` are the peers that announced it, `tried` those that were asked:
    the first no sooner than `earliest`, the next some time after `requested`.
    """

    version: Version
    offers: tuple[Address, ...]
    earliest: float = -inf
    requested: float = -inf
    tried: tuple[Address, ...] = ()

    @property
    def peer(self) -> Address:
        """Return the peer that was asked last, or else the one to ask."""
        return self.tried[-1] if self.tried else self.offers[0]

    def add_offer(self, peer: Address, earliest: float) -> 'MissingEntry':
        """Add an offer, in front if it may be requested sooner."""
        if earliest < self.earliest:
            others = tuple(other for other in self.offers if other != peer)
            offers = (peer, *others)
            return replace(self, offers=offers, earliest=earliest)
        if peer in self.offers:
            return self
        return replace(self, offers=(*self.offers, peer)[:OFFERS_KEPT])

    def is_due(self, now: float, pull_again: float) -> bool:
        """Return whether the entry may be requested now."""
        waited = now - self.requested >= pull_again
        return waited and now >= self.earliest


class EntryIndex:
    """Index a store of entries; a key's revision never decreases."""

    def __init__(self, store: EntryStore, pull_again: float) -> None:
        """Index a store that is still empty.

        An entry that a peer has not sent within `pull_again` seconds is
        requested from another one.
        """
        self._pull_again = pull_again
        self.summary = Summary()
        self.newest_revision = 0
        self._store = store
        self._missing: dict[str, MissingEntry] = {}
        self._adopted: list[Entry] = []

    @property
    def missing_count(self) -> int:
        """Return how many entries are known to be missing."""
        return len(self._missing)

    def revision_of(self, key: str) -> int:
        """Return the revision held of a key, 0 for none."""
        version = self.summary.get(key)
        return 0 if version is None else version.version

    def keys_under(self, prefix: str) -> tuple[str, ...]:
        """Return the keys under a prefix, without deleted entries."""
        matching = (
            key for key in self.summary.keys() if key.startswith(prefix)
        )
        return tuple(key for key in matching if self._is_present(key))

    def newest_under(self, prefix: str) -> int:
        """Return the highest revision held under a prefix."""
        return max(
            (
                self.revision_of(key)
                for key in self.summary.keys()
                if key.startswith(prefix)
            ),
            default=0,
        )

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self._store.entry(key)

    def adopt(self, entry: Entry) -> bool:
        """Store an entry if it is valid and newer than the held one.

        An entry that this node cannot read is not announced, so that
        neighbours do not request it from this node.
        """
        if entry.revision <= self.revision_of(entry.key):
            return False
        self._store.adopt(entry)
        if self._store.entry(entry.key) != entry:
            self._missing.pop(entry.key, None)
            return False
        self.summary.put(Version(entry.key, 0, entry.revision))
        self.newest_revision = max(self.newest_revision, entry.revision)
        self._adopted.append(entry)
        missing = self._missing.get(entry.key)
        if missing and missing.version.version <= entry.revision:
            self._missing.pop(entry.key)
        return True

    def record_offer(
        self,
        peer: Address,
        version: Version,
        earliest: float = -inf,
    ) -> None:
        """Record that a peer holds a revision, to be pulled if it is newer.

        Of the offers of one revision, the one that may be requested soonest
        goes first.
        """
        missing = self._missing.get(version.key)
        if missing and missing.version.version == version.version:
            self._missing[version.key] = missing.add_offer(peer, earliest)
            return
        known = self.revision_of(version.key)
        if missing:
            known = max(known, missing.version.version)
        newer = version.version > known and self._store.wants(
            version.key,
            version.version,
        )
        if newer and len(self._missing) < MISSING_LIMIT:
            self._missing[version.key] = MissingEntry(
                version, (peer,), earliest
            )

    def select_pulls(
        self,
        now: float,
        peers: tuple[Address, ...],
    ) -> tuple[MissingEntry, ...]:
        """Return the entries to request now, at most a window of them.

        An entry that a peer has not sent in time is requested from the next
        of `peers`.
        """
        pulled = []
        for key, missing in tuple(self._missing.items())[:PULL_WINDOW]:
            if not missing.is_due(now, self._pull_again):
                continue
            if len(missing.tried) >= PULL_ATTEMPTS or not peers:
                self._missing.pop(key)
                continue
            requested = self._choose_peer(now, missing, peers)
            self._missing[key] = requested
            pulled.append(requested)
        return tuple(pulled)

    def pop_adopted(self) -> tuple[Entry, ...]:
        """Return the entries adopted since the last call."""
        adopted = tuple(self._adopted)
        self._adopted.clear()
        return adopted

    def _is_present(self, key: str) -> bool:
        entry = self._store.entry(key)
        return entry is not None and bool(entry.payload)

    def _choose_peer(
        self,
        now: float,
        missing: MissingEntry,
        peers: tuple[Address, ...],
    ) -> MissingEntry:
        offers = (peer for peer in missing.offers if peer in peers)
        candidates = tuple(dict.fromkeys((*offers, *peers)))
        untried = (peer for peer in candidates if peer not in missing.tried)
        return replace(
            missing,
            requested=now,
            tried=(*missing.tried, next(untried, candidates[0])),
        )
