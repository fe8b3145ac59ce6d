"""The targets of a service that one node connects to."""

from itertools import islice
from math import ceil, sqrt
from typing import Final

from xxhash import xxh3_64_intdigest

from hillfield.model import Locality, Target

LARGEST_SUBSET: Final = 32
SMALLEST_SUBSET: Final = 2
LOCAL_TARGETS: Final = 2
# Share of a subset taken from the own failure domain, if it has so many
# targets. Of 16 targets with 3 slots each, a third unhealthy and one lost
# leave 30 slots for the one or two requests that a node has in flight. Without
# this share, 35 near targets among 178 gave a node six, and its other requests
# left the domain.
LOCAL_SHARE: Final = 0.5
# The nodes of a target are binomially distributed; 3 standard deviations are a
# sufficient margin.
DEVIATIONS: Final = 3


def choose_subset(
    targets: tuple[Target, ...],
    locality: Locality,
    nodes: int,
) -> tuple[Target, ...]:
    """Return this node's targets by rendezvous hashing.

    See Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates" (1998). Adding or removing a target changes one place in the subsets
    that contain it, and no other subset. Draining targets are added beyond the
    subset's size, so that their state stays known.
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
    """Return the highest-ranked targets of the own failure domain."""
    here = locality.failure_domain
    near = (one for one in ranked if one.locality.failure_domain == here)
    most = max(LOCAL_TARGETS, int(LOCAL_SHARE * size))
    return tuple(islice(near, min(size - 1, most)))


def compute_subset_size(targets: tuple[Target, ...], nodes: int) -> int:
    """Return how many targets each node may use.

    Nodes use all targets of a small service, unless one connection from each
    node would exceed the targets' connection limit.
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
    """Rank targets by the hash of their address and one host."""

    def __init__(self, host: str) -> None:
        self._host = host

    def __call__(self, target: Target) -> int:
        address = target.id.address
        return xxh3_64_intdigest(f'{self._host} {address}'.encode())
