"""Make a node known in the store, and find its first peers there."""

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.fleet.feeds import PAGE_ENTRIES, StoreFeed
from hillfield.fleet.peering.selection import rank_names
from hillfield.fleet.service import Fleet
from hillfield.fleet.slots import SLOTS_PER_DOMAIN, prefix_of, rank_of
from hillfield.model import Address, parse_address
from hillfield.store.paging import Span, read_span
from hillfield.store.ports import Accepted, Change, Conflict, Store, StoredValue

# Peers that a node tries first: in its own failure domain, and for a holder
# of a slot in each other one. With two there, 31 nodes that start together
# tell 2.25 MB across in 3 s and know all targets no sooner than with one and
# 1.19 MB (modelled).
LOCAL_PEERS_DIALLED: Final = 2
REMOTE_PEERS_DIALLED: Final = 1
# Registered peers of the own failure domain of which some will live: of three
# that are picked at random all are gone once in eight times when half are.
LOCAL_PEERS_NEEDED: Final = 3


class Registration(Struct, frozen=True):
    """Say where a node of a failure domain listens for links."""

    domain: str
    name: str
    link: Address


class PeerDiscovery:
    """Write where this node listens, and read where others do."""

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        feed: StoreFeed,
        random: Random,
    ) -> None:
        """Do nothing yet; the feed takes note of failed calls."""
        self._fleet = fleet
        self._store = store
        self._feed = feed
        self._random = random
        self._registered: tuple[Registration, ...] = ()
        self._asked = False
        self._own_domain = fleet.settings.locality.failure_domain

    def dial_other_domains(self) -> None:
        """Offer a few nodes of each other failure domain as peers."""
        domains = {registered.domain for registered in self._registered}
        for domain in sorted(domains - {self._own_domain}):
            self._offer(domain, REMOTE_PEERS_DIALLED)

    async def join(self) -> bool:
        """Register this node and offer some peers; False: to be repeated.

        What others registered some seconds ago is enough for a node that
        starts again in a fleet: then its own address stands there as well,
        and one cheap reading takes the place of a write and a dear one.
        """
        if await self._read(stale=True):
            settings = self._fleet.settings
            own = Registration(self._own_domain, settings.name, settings.link)
            if is_registration_sufficient(own, self._registered):
                self._offer_near()
                return True
        return await self.register() and await self.discover()

    async def register(self) -> bool:
        """Write this node's link address where others look for it."""
        settings = self._fleet.settings
        prefix = prefix_of(settings.cluster)
        key = f'{prefix}{self._own_domain}/{settings.name}'
        payload = str(settings.link).encode()
        conflict = await self._swap(Change(key, 0, payload))
        standing = None if conflict is None else _find_current(conflict)
        if standing is not None and standing.payload != payload:
            # The address of an earlier life of this node.
            again = Change(key, standing.revision, payload)
            return await self._swap(again) == Conflict(())
        return conflict is not None

    async def discover(self) -> bool:
        """Read the registered addresses and offer some as those of peers.

        Those of other failure domains are only for holders of a slot.
        """
        known = await self._read(stale=False)
        if known:
            self._offer_near()
        return known

    def ranks_for_slot(self) -> bool:
        """Tell whether this node ranks high enough for one of the slots.

        A fresh fleet need not wait to hear of each other for that.
        """
        slot = f'{self._own_domain}/0'
        ranked = sorted(
            rank_of(slot, registration.name)
            for registration in self._registered
            if registration.domain == self._own_domain
        )
        own = rank_of(slot, self._fleet.settings.name)
        return own in ranked[:SLOTS_PER_DOMAIN]

    async def _read(self, *, stale: bool) -> bool:
        """Read the registered addresses."""
        prefix = prefix_of(self._fleet.settings.cluster)
        span = Span(prefix, stale=stale)
        read = await read_span(self._store, span, PAGE_ENTRIES)
        if read.is_error():
            self._feed.report_error(read.error)
            return False
        self._registered = read_registrations(read.ok.entries)
        return True

    def _offer_near(self) -> None:
        """Dial the peers that this node would choose; after that any.

        Those that it would choose may all be gone.
        """
        if self._asked:
            self._offer(self._own_domain, LOCAL_PEERS_DIALLED)
            return
        self._asked = True
        peers = self._list_peers(self._own_domain)
        found = {peer.name: peer for peer in peers}
        ranked = rank_names(self._fleet.settings.name, found)
        first = ranked[:LOCAL_PEERS_DIALLED]
        self._dial([found[name] for name in first])

    def _offer(self, domain: str, most: int) -> None:
        """Dial a few of a failure domain, others at each call."""
        found = self._list_peers(domain)
        count = min(most, len(found))
        self._dial(self._random.sample(found, count))

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
            # A node that has just started must not wait for its next turn.
            self._fleet.state.dial(now, registration.link)

    async def _swap(self, change: Change) -> Conflict | None:
        """Write a key; return what stands in the way, None after an error."""
        swapped = await self._store.swap((change,))
        if swapped.is_error():
            self._feed.report_error(swapped.error)
            return None
        return Conflict(()) if isinstance(swapped.ok, Accepted) else swapped.ok


def is_registration_sufficient(
    own: Registration,
    registered: tuple[Registration, ...],
) -> bool:
    """Tell whether a node is registered, and enough peers near it are."""
    near = sum(other.domain == own.domain for other in registered)
    return own in registered and near > LOCAL_PEERS_NEEDED


def _find_current(conflict: Conflict) -> StoredValue | None:
    return conflict.current[0] if conflict.current else None


def read_registrations(
    entries: tuple[StoredValue, ...],
) -> tuple[Registration, ...]:
    """Read what nodes wrote; what can't be read is no node of this release.

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
