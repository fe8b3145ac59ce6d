"""The targets of a service that one node connects to."""

from itertools import islice
from math import ceil, sqrt
from typing import Final

from xxhash import xxh3_64_intdigest

from hillfield.model import Locality, Target

LARGEST_SUBSET: Final = 32
SMALLEST_SUBSET: Final = 2
LOCAL_TARGETS: Final = 2
# Part of a subset that is of the own failure domain, where it has so many: a
# third of 16 sick and one lost leave 30 slots of three a target for the one or
# two requests that a node has under way. Without it 35 near targets among 178
# gave a node six, and the rest of its requests crossed failure domains.
LOCAL_SHARE: Final = 0.5
# Nodes per target scatter as a binomial count; three deviations leave room.
DEVIATIONS: Final = 3


def choose_subset(
    targets: tuple[Target, ...],
    locality: Locality,
    nodes: int,
) -> tuple[Target, ...]:
    """Return this node's targets by rendezvous hashing.

    The source is Thaler and Ravishankar, "Using name-based mappings to
    increase hit rates" (1998). A target that comes or goes changes one place
    in the subsets that hold it and nothing in the others. Draining targets
    are kept, so that their state is known; they take no place.
    """
    live = tuple(target for target in targets if _is_live(target))
    size = compute_subset_size(live, nodes)
    if size >= len(live):
        return targets
    ranked = sorted(live, key=_Rank(locality.host))
    near = _select_near(ranked, locality, size)
    rest = (target for target in ranked if target not in near)
    others = tuple(islice(rest, size - len(near)))
    leaving = tuple(target for target in targets if not _is_live(target))
    return near + others + leaving


def _select_near(
    ranked: list[Target],
    locality: Locality,
    size: int,
) -> tuple[Target, ...]:
    """Return the first of the own failure domain."""
    here = locality.failure_domain
    near = (one for one in ranked if one.locality.failure_domain == here)
    most = max(LOCAL_TARGETS, int(LOCAL_SHARE * size))
    return tuple(islice(near, min(size - 1, most)))


def compute_subset_size(targets: tuple[Target, ...], nodes: int) -> int:
    """Return how many targets each node may use.

    Small services are used whole, unless that many nodes would exceed the
    connection limit of the targets with one connection each.
    """
    count = len(targets)
    if not count:
        return 0
    size = min(count, LARGEST_SUBSET)
    limit = min(target.connection_limit for target in targets)
    while (
        size > SMALLEST_SUBSET and _estimate_users(nodes, size, count) > limit
    ):
        size -= 1
    return min(size, count)


def compute_connection_share(
    target: Target, nodes: int, size: int, count: int
) -> int:
    """Return how many connections one node may open to the target.

    >>> from hillfield.model import Address, Locality, TargetId
    >>> target = Target(
    ...     TargetId('settlement', Address('127.0.0.1', 80), 1),
    ...     Locality('north', 'a', 'h1'), slots=4, connection_limit=300)
    >>> compute_connection_share(target, nodes=21, size=6, count=6)
    14
    >>> compute_connection_share(target, nodes=600, size=8, count=30)
    1
    """
    users = max(1, _estimate_users(nodes, size, count))
    return max(1, target.connection_limit // users)


def _is_live(target: Target) -> bool:
    return target.state != 'draining'


def _estimate_users(nodes: int, size: int, count: int) -> int:
    if size >= count:
        return nodes
    mean = nodes * size / count
    return min(nodes, ceil(mean + DEVIATIONS * sqrt(mean)))


class _Rank:
    """Order targets by their hash with one host."""

    def __init__(self, host: str) -> None:
        self._host = host

    def __call__(self, target: Target) -> int:
        address = target.id.address
        return xxh3_64_intdigest(f'{self._host} {address}'.encode())
