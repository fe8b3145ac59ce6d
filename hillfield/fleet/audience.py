"""Which nodes of other failure domains a gate's news goes through."""

from collections.abc import Iterable, Iterator
from functools import partial

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from hillfield.fleet.core import Core
from hillfield.fleet.records import NodeRecord


class Audience(Struct, frozen=True):
    """Hold IP numbers: one to tell a further domain, and all nodes there.

    Only what comes from `elsewhere` is passed on to the own failure domain.
    """

    far: tuple[str, ...] = ()
    elsewhere: frozenset[str] = frozenset()


def list_alive(core: Core) -> Iterator[NodeRecord]:
    """Yield the records of the live members."""
    records = core.book.records
    for name in core.book.alive & records.keys():
        yield records[name]


def list_others(core: Core) -> list[NodeRecord]:
    """Return the records of the live members beside this node."""
    own = core.own.record.name
    return [record for record in list_alive(core) if record.name != own]


def choose_audience(
    own: NodeRecord,
    others: Iterable[NodeRecord],
) -> Audience:
    """Return whom a node tells.

    Another failure domain of the region is told through one node of it, which
    tells its own; each gate picks its own one (rendezvous hashing).
    """
    here = own.locality
    domains: dict[str, list[NodeRecord]] = {}
    for other in others:
        if other.locality.region == here.region:
            domain = other.locality.failure_domain
            domains.setdefault(domain, []).append(other)
    domains.pop(here.failure_domain, None)
    weigh = partial(_weigh, own)
    return Audience(
        tuple(min(nodes, key=weigh).link.ip for nodes in domains.values()),
        frozenset(node.link.ip for nodes in domains.values() for node in nodes),
    )


def _weigh(own: NodeRecord, other: NodeRecord) -> int:
    return xxh3_64_intdigest(f'{own.name} {other.name}'.encode())
