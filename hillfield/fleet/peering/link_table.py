"""A node's links as the state knows them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from hillfield.model import Address, Locality


@dataclass(slots=True)
class Link:
    """Hold what is known of one link.

    `last_received` is when its peer was heard last, `received_in_row` how many messages came
    since it was last thought silent, `up` whether it is heard, `mismatches`
    for how many heartbeats in a row its hash of a subject has differed from
    ours. `confirmed` is when `entries_hash`, a hash, with `newest` as the newest
    revision were all that the store held, `read_failed` whether the peer has
    tried in vain to read it since.
    """

    address: Address
    dialled: bool
    opened: float
    name: str = ''
    incarnation: int = 0
    locality: Locality | None = None
    last_received: float = -inf
    received_in_row: int = 0
    up: bool = False
    ready: bool = False
    synced: bool = False
    mismatches: list[int] = field(default_factory=lambda: [0, 0])
    hashes_sent: float = -inf
    confirmed: float = -inf
    entries_hash: int = 0
    newest: int = 0
    read_failed: bool = False

    def discount_pause(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against the peer."""
        self.last_received = min(now, self.last_received + seconds)
        self.opened = min(now, self.opened + seconds)

    @property
    def last_activity(self) -> float:
        """Return when the link was opened or its peer heard."""
        return max(self.opened, self.last_received)


class LinkTable:
    """Find links by their address or by the name of their peer."""

    def __init__(self) -> None:
        """Start without links."""
        self._links: dict[Address, Link] = {}
        self._names: dict[str, Link] = {}

    def __iter__(self) -> Iterator[Link]:
        """Yield the links; they may be closed meanwhile."""
        return iter(tuple(self._links.values()))

    def __len__(self) -> int:
        """Return how many links there are."""
        return len(self._links)

    def open(self, link: Link) -> None:
        """Add a link."""
        self._links[link.address] = link

    def close(self, link: Link) -> None:
        """Drop a link."""
        self._links.pop(link.address, None)
        if self._names.get(link.name) is link:
            self._names.pop(link.name)

    def find_by_address(self, address: Address) -> Link | None:
        """Return the link to an address."""
        return self._links.get(address)

    def find_by_name(self, name: str) -> Link | None:
        """Return the link to a named peer."""
        return self._names.get(name)

    def set_name(self, link: Link, name: str) -> None:
        """Note whom the link leads to."""
        if self._names.get(link.name) is link:
            self._names.pop(link.name)
        link.name = name
        self._names[name] = link

    def count_accepted(self) -> int:
        """Return how many links others have asked for."""
        return sum(not link.dialled for link in self._links.values())
