"""A node's links as the state knows them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from hillfield.model import Address, Locality


@dataclass(slots=True)
class Link:
    """Hold what is known of one link.

    `heard` is when its peer was heard last, `streak` how many messages came
    since it was last thought silent, `up` whether it is heard, `differences`
    for how many heartbeats in a row its hash of a subject has differed from
    ours. `confirmed` is when `entries`, a hash, with `newest` as the newest
    revision were all that the store held, `in_vain` whether the peer has
    tried in vain to read it since.
    """

    address: Address
    dialled: bool
    opened: float
    name: str = ''
    incarnation: int = 0
    locality: Locality | None = None
    heard: float = -inf
    streak: int = 0
    up: bool = False
    ready: bool = False
    synced: bool = False
    differences: list[int] = field(default_factory=lambda: [0, 0])
    repaired: float = -inf
    confirmed: float = -inf
    entries: int = 0
    newest: int = 0
    in_vain: bool = False

    def excuse(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against the peer."""
        self.heard = min(now, self.heard + seconds)
        self.opened = min(now, self.opened + seconds)

    @property
    def last_sign(self) -> float:
        """Return when the link was opened or its peer heard."""
        return max(self.opened, self.heard)


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

    def at(self, address: Address) -> Link | None:
        """Return the link to an address."""
        return self._links.get(address)

    def named(self, name: str) -> Link | None:
        """Return the link to a named peer."""
        return self._names.get(name)

    def name(self, link: Link, name: str) -> None:
        """Note whom the link leads to."""
        if self._names.get(link.name) is link:
            self._names.pop(link.name)
        link.name = name
        self._names[name] = link

    def accepted(self) -> int:
        """Return how many links others have asked for."""
        return sum(not link.dialled for link in self._links.values())
