"""Choose the peers to which a node opens links.

Each node dials its successor in the ring of its failure domain, which keeps
the domain connected, one node in another failure domain and one in another
region. The latter two are picked by rendezvous hashing, so that the choice
differs from node to node and a change of membership moves few links.
"""

from collections.abc import Iterable
from functools import partial

from msgspec import Struct

from hillfield.fleet.records import NodeRecord
from hillfield.fleet.replication.summary import hash_text


class PeerCandidates(Struct, frozen=True):
    """Hold the choosing node, its possible peers and how many to choose."""

    own: NodeRecord
    others: tuple[NodeRecord, ...]
    count: int


def choose_peers(circle: PeerCandidates) -> tuple[NodeRecord, ...]:
    """Return the chosen peers, the most important first."""
    chosen: dict[str, NodeRecord] = {}
    for group in (
        _next_in_ring(circle),
        _ranked(circle, _other_domains(circle)),
        _ranked(circle, _other_regions(circle)),
    ):
        fresh = (record for record in group if record.name not in chosen)
        first = next(fresh, None)
        if first is not None:
            chosen[first.name] = first
    for record in _ranked(circle, circle.others):
        if len(chosen) < circle.count:
            chosen.setdefault(record.name, record)
    return tuple(chosen.values())[: circle.count]


def rank_names(own_name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of a node's failure domain in the order of choice.

    It is the order that holds if all of them are alive, so that a node that
    starts keeps its first links.

    >>> rank_names('b', ('c', 'a')) in (('a', 'c'), ('c', 'a'))
    True
    """
    ranked = sorted(names, key=partial(_weigh, own_name))
    following = _follow_ring(own_name, ranked)
    return (*following, *(name for name in ranked if name not in following))


def _follow_ring(own_name: str, names: Iterable[str]) -> list[str]:
    """Return the name that follows a node's own in the ring, if any."""
    here = hash_text(own_name)
    ring = sorted(names, key=hash_text)
    after = [name for name in ring if hash_text(name) > here]
    return after[:1] or ring[:1]


def _weigh(own_name: str, name: str) -> int:
    """Return the rendezvous hash of two nodes; the lowest is chosen first."""
    return hash_text(f'{own_name}>{name}')


def _next_in_ring(circle: PeerCandidates) -> list[NodeRecord]:
    home = circle.own.locality
    near = {
        record.name: record
        for record in circle.others
        if record.locality.region == home.region
        and record.locality.failure_domain == home.failure_domain
    }
    return [near[name] for name in _follow_ring(circle.own.name, near)]


def _other_domains(circle: PeerCandidates) -> list[NodeRecord]:
    home = circle.own.locality
    return [
        record
        for record in circle.others
        if record.locality.region == home.region
        and record.locality.failure_domain != home.failure_domain
    ]


def _other_regions(circle: PeerCandidates) -> list[NodeRecord]:
    home = circle.own.locality
    return [
        record
        for record in circle.others
        if record.locality.region != home.region
    ]


def _ranked(
    circle: PeerCandidates,
    records: Iterable[NodeRecord],
) -> list[NodeRecord]:
    own_name = circle.own.name
    return sorted(
        records,
        key=lambda record: _weigh(own_name, record.name),
    )
