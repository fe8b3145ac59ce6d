"""Nodes as they register themselves in the store."""

from collections.abc import Iterator

from msgspec import Struct

from hillfield.model import Address, parse_address
from hillfield.store.ports import StoredValue


class Registration(Struct, frozen=True):
    """Say where a node of a failure domain listens for links."""

    domain: str
    name: str
    link: Address


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
