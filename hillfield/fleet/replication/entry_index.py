"""Which revision of each configuration entry is here, and which is not yet."""

from math import inf
from typing import Final, Protocol

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.fleet.messages import Version
from hillfield.fleet.replication.summary import Summary
from hillfield.model import Address

PULL_WINDOW: Final = 32
PULL_ATTEMPTS: Final = 6
OFFERS_KEPT: Final = 16
MISSING_LIMIT: Final = 8192


class EntryStore(Protocol):
    """Keep the newest valid entry of each key; `Replica` does."""

    def adopt(self, entry: Entry) -> object:
        """Take an entry unless a newer one of its key is held."""

    def wants(self, key: str, revision: int) -> bool:
        """Return whether such an entry would be news."""

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""


class MissingEntry(Struct, frozen=True):
    """Hold that peers have a newer revision of a key than we.

    `offers` are those that told so, `tried` those that were asked: the first
    no sooner than `earliest`, another one some time after `requested`.
    """

    version: Version
    offers: tuple[Address, ...]
    earliest: float = -inf
    requested: float = -inf
    tried: tuple[Address, ...] = ()

    @property
    def peer(self) -> Address:
        """Return whom to ask, or who was asked last."""
        return self.tried[-1] if self.tried else self.offers[0]

    def add_offer(self, peer: Address, earliest: float) -> 'MissingEntry':
        """Take one more offer, first if it may be taken up sooner."""
        if earliest < self.earliest:
            others = tuple(other for other in self.offers if other != peer)
            offers = (peer, *others)
            return replace(self, offers=offers, earliest=earliest)
        if peer in self.offers:
            return self
        return replace(self, offers=(*self.offers, peer)[:OFFERS_KEPT])

    def is_due(self, now: float, pull_again: float) -> bool:
        """Tell whether it may be asked for now."""
        waited = now - self.requested >= pull_again
        return waited and now >= self.earliest


class EntryIndex:
    """Guard a store of entries: a key's revision only ever grows."""

    def __init__(self, store: EntryStore, pull_again: float) -> None:
        """Start with a store that holds nothing yet.

        What was not sent in `pull_again` seconds is asked of another peer.
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
        """Return the revision that is held, 0 for none."""
        version = self.summary.get(key)
        return 0 if version is None else version.version

    def keys_under(self, prefix: str) -> tuple[str, ...]:
        """Return the keys of a prefix whose entries aren't deletions."""
        found = (key for key in self.summary.keys() if key.startswith(prefix))
        return tuple(key for key in found if self._is_filled(key))

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
        """Take an entry if it is valid and newer than what is held.

        One that this node can't read is not announced as held, so that its
        neighbours never take it for one that has it.
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
        """Note that a peer holds a revision; it is pulled if it is newer.

        An offer that may be taken up sooner goes before those like it.
        """
        missing = self._missing.get(version.key)
        if missing and missing.version.version == version.version:
            self._missing[version.key] = missing.add_offer(peer, earliest)
            return
        known = self.revision_of(version.key)
        if missing:
            known = max(known, missing.version.version)
        news = version.version > known and self._store.wants(
            version.key,
            version.version,
        )
        if news and len(self._missing) < MISSING_LIMIT:
            self._missing[version.key] = MissingEntry(
                version, (peer,), earliest
            )

    def select_pulls(
        self,
        now: float,
        peers: tuple[Address, ...],
    ) -> tuple[MissingEntry, ...]:
        """Return what to pull now; a bounded window at a time.

        What a peer didn't send in time is asked of the next of `peers`.
        """
        pulled = []
        for key, missing in tuple(self._missing.items())[:PULL_WINDOW]:
            if not missing.is_due(now, self._pull_again):
                continue
            if len(missing.tried) >= PULL_ATTEMPTS or not peers:
                self._missing.pop(key)
                continue
            turned = self._ask(now, missing, peers)
            self._missing[key] = turned
            pulled.append(turned)
        return tuple(pulled)

    def pop_adopted(self) -> tuple[Entry, ...]:
        """Return the entries adopted since the last call."""
        adopted = tuple(self._adopted)
        self._adopted.clear()
        return adopted

    def _is_filled(self, key: str) -> bool:
        entry = self._store.entry(key)
        return entry is not None and bool(entry.payload)

    def _ask(
        self,
        now: float,
        missing: MissingEntry,
        peers: tuple[Address, ...],
    ) -> MissingEntry:
        offers = (peer for peer in missing.offers if peer in peers)
        turns = tuple(dict.fromkeys((*offers, *peers)))
        untried = (peer for peer in turns if peer not in missing.tried)
        return replace(
            missing,
            requested=now,
            tried=(*missing.tried, next(untried, turns[0])),
        )
