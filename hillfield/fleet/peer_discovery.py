"""Register a node's address in the store, and discover its first peers there."""

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.fleet.peering.selection import rank_names
from hillfield.fleet.service import Fleet
from hillfield.fleet.slots import (
    SLOTS_PER_DOMAIN,
    compute_rank,
    make_relay_prefix,
)
from hillfield.fleet.store_feed import PAGE_ENTRIES, StoreFeed
from hillfield.model import Address, parse_address
from hillfield.store.paging import Span, read_span
from hillfield.store.ports import Accepted, Change, Conflict, Store, StoredValue

# Peers that a node dials first: in its own failure domain, and, if it holds a
# relay slot, in each other one. In a model of 31 nodes that start together,
# dialling two in each other domain sends 2.25 MB between domains in 3 s instead
# of 1.19 MB, and all targets are known no sooner.
LOCAL_PEERS_DIALLED: Final = 2
REMOTE_PEERS_DIALLED: Final = 1
# Registered peers of the own failure domain that are enough to find a live one:
# if half of all nodes are gone, three random ones are all gone in one of eight
# cases.
LOCAL_PEERS_NEEDED: Final = 3


class Registration(Struct, frozen=True):
    """Hold the address at which a node listens for links."""

    domain: str
    name: str
    link: Address


class PeerDiscovery:
    """Register this node's address, and dial registered peers."""

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        feed: StoreFeed,
        random: Random,
    ) -> None:
        """Make no store calls yet; the feed reports failed ones."""
        self._fleet = fleet
        self._store = store
        self._feed = feed
        self._random = random
        self._registered: tuple[Registration, ...] = ()
        self._has_dialled = False
        self._own_domain = fleet.settings.locality.failure_domain

    def dial_other_domains(self) -> None:
        """Dial a few nodes of each other failure domain."""
        domains = {registered.domain for registered in self._registered}
        for domain in sorted(domains - {self._own_domain}):
            self._dial_random(domain, REMOTE_PEERS_DIALLED)

    async def join(self) -> bool:
        """Register this node and dial some peers; return False to be retried.

        For a node that restarts in a running fleet, registrations that are
        some seconds old are enough: they have its own address too, and one
        cheap stale read replaces a write and an expensive consistent read.
        """
        if await self._read(stale=True):
            settings = self._fleet.settings
            own = Registration(self._own_domain, settings.name, settings.link)
            if is_registration_sufficient(own, self._registered):
                self._dial_own_domain()
                return True
        return await self.register() and await self.discover()

    async def register(self) -> bool:
        """Write this node's link address to its key in the store."""
        settings = self._fleet.settings
        prefix = make_relay_prefix(settings.cluster)
        key = f'{prefix}{self._own_domain}/{settings.name}'
        payload = str(settings.link).encode()
        conflict = await self._swap(Change(key, 0, payload))
        current = None if conflict is None else _find_current(conflict)
        if current is not None and current.payload != payload:
            # The address is of an earlier incarnation of this node.
            again = Change(key, current.revision, payload)
            return await self._swap(again) == Conflict(())
        return conflict is not None

    async def discover(self) -> bool:
        """Read the registered addresses and dial some of this failure domain.

        Only holders of a relay slot dial nodes of other failure domains.
        """
        has_read = await self._read(stale=False)
        if has_read:
            self._dial_own_domain()
        return has_read

    def ranks_for_slot(self) -> bool:
        """Return whether this node's rank suffices for one of the slots.

        In a fleet that starts, such a node claims a slot without waiting for
        the records of others.
        """
        slot = f'{self._own_domain}/0'
        ranked = sorted(
            compute_rank(slot, registration.name)
            for registration in self._registered
            if registration.domain == self._own_domain
        )
        own = compute_rank(slot, self._fleet.settings.name)
        return own in ranked[:SLOTS_PER_DOMAIN]

    async def _read(self, *, stale: bool) -> bool:
        """Read the registered addresses."""
        prefix = make_relay_prefix(self._fleet.settings.cluster)
        span = Span(prefix, stale=stale)
        read = await read_span(self._store, span, PAGE_ENTRIES)
        if read.is_error():
            self._feed.report_error(read.error)
            return False
        self._registered = read_registrations(read.ok.entries)
        return True

    def _dial_own_domain(self) -> None:
        """Dial the peers that this node would choose, later random ones.

        The peers that it would choose may all be gone.
        """
        if self._has_dialled:
            self._dial_random(self._own_domain, LOCAL_PEERS_DIALLED)
            return
        self._has_dialled = True
        peers = self._list_peers(self._own_domain)
        by_name = {peer.name: peer for peer in peers}
        ranked = rank_names(self._fleet.settings.name, by_name)
        first = ranked[:LOCAL_PEERS_DIALLED]
        self._dial([by_name[name] for name in first])

    def _dial_random(self, domain: str, limit: int) -> None:
        """Dial a few random nodes of a failure domain."""
        peers = self._list_peers(domain)
        count = min(limit, len(peers))
        self._dial(self._random.sample(peers, count))

    def _list_peers(self, domain: str) -> list[Registration]:
        name = self._fleet.settings.name
        return [
            registration
            for registration in self._registered
            if registration.domain == domain and registration.name != name
        ]

    def _dial(self, chosen: Sequence[Registration]) -> None:
        now = monotonic()
        for registration in chosen:
            # A node that has just started must not wait for its next attempt
            # at remembered addresses.
            self._fleet.state.dial(now, registration.link)

    async def _swap(self, change: Change) -> Conflict | None:
        """Write a key; return the conflict, an empty one if there is none.

        Return None after an error.
        """
        swapped = await self._store.swap((change,))
        if swapped.is_error():
            self._feed.report_error(swapped.error)
            return None
        return Conflict(()) if isinstance(swapped.ok, Accepted) else swapped.ok


def is_registration_sufficient(
    own: Registration,
    registered: tuple[Registration, ...],
) -> bool:
    """Return whether a node and enough peers of its domain are registered."""
    local = sum(other.domain == own.domain for other in registered)
    return own in registered and local > LOCAL_PEERS_NEEDED


def _find_current(conflict: Conflict) -> StoredValue | None:
    return conflict.current[0] if conflict.current else None


def read_registrations(
    entries: tuple[StoredValue, ...],
) -> tuple[Registration, ...]:
    """Parse registrations; skip keys that other releases use differently.

    >>> entry = StoredValue('/x/relays/hall-a/n1', 1, b'10.0.0.1:7380')
    >>> read_registrations((entry,))[0].domain
    'hall-a'
    """
    return tuple(_read_all(entries))


def _read_all(entries: tuple[StoredValue, ...]) -> Iterator[Registration]:
    for stored in entries:
        path, _, name = stored.key.rpartition('/')
        address = parse_address(stored.payload.decode('utf-8', 'replace'))
        if address.is_ok():
            yield Registration(path.rpartition('/')[-1], name, address.ok)
