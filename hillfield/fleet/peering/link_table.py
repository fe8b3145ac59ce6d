"""The state of a node's links."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from hillfield.model import Address, Locality


@dataclass(slots=True)
class Link:
    """Hold the state of one link.

    `last_received` is when the last message of the peer came,
    `received_in_row` how many came since it was last silent, `up` whether the
    peer is reachable. `mismatches` counts, by subject, the heartbeats in a row
    whose hash differed from this node's. `confirmed` is when the entries of
    `entries_hash`, with `newest` as their newest revision, were all that the
    store held, `read_failed` whether a store read of the peer failed since.
    `ready` is whether the peer has a complete configuration, `synced` whether
    its entries have been the same as this node's.
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
        """Do not count a pause of this process as silence of the peer."""
        self.last_received = min(now, self.last_received + seconds)
        self.opened = min(now, self.opened + seconds)

    @property
    def last_activity(self) -> float:
        """Return when the link was opened or its last message came."""
        return max(self.opened, self.last_received)


class LinkTable:
    """Look up links by address or by the name of the peer."""

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
        """Set the name of a link's peer."""
        if self._names.get(link.name) is link:
            self._names.pop(link.name)
        link.name = name
        self._names[name] = link

    def count_accepted(self) -> int:
        """Return how many links were requested by other nodes."""
        return sum(not link.dialled for link in self._links.values())
