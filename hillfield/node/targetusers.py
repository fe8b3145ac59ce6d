"""The nodes of this failure domain that use a target.

They receive the reports of the target's capacity.
"""

from collections import defaultdict
from collections.abc import Iterator
from math import inf
from typing import Final

from msgspec import Struct

from hillfield.fleet.core import Core
from hillfield.fleet.recipients import list_alive
from hillfield.fleet.records import NodeRecord
from hillfield.model import Target, TargetId
from hillfield.routing.subsets import LARGEST_SUBSET, choose_subset

# Seconds for which the computed users of a service's targets are cached; the
# computation takes 20 ms for 178 targets and 47 nodes.
USERS_CACHED_SECONDS: Final = 5.0
# Most recipients of a report; other nodes learn the capacity from answers to
# their requests.
MAXIMUM_RECIPIENTS: Final = 40

Users = dict[TargetId, tuple[str, ...]]


class _CachedUsers(Struct, frozen=True):
    """Hold computed users, their time and the state of the fleet used."""

    users: Users
    moment: float = -inf
    revision: int = -1
    alive: frozenset[str] = frozenset()


class TargetUsers:
    """Compute which nodes use a target, by the rule that they use themselves.

    So nodes need not report which targets they use, and the reports that a
    node receives are bounded by its subset, not by the number of targets.
    """

    def __init__(self, core: Core) -> None:
        """Start with an empty cache; `core` is this node's state of the fleet."""
        self._core = core
        self._cached: dict[str, _CachedUsers] = {}
        self._alive: frozenset[str] | None = None
        self._domain_nodes: tuple[NodeRecord, ...] = ()

    def list_addresses(self, now: float, target: TargetId) -> tuple[str, ...]:
        """Return the IP addresses of this domain's other users of a target."""
        targets = self._core.view.targets_of(target.service)
        if len(targets) <= LARGEST_SUBSET:
            near = self._list_domain_nodes()
            return tuple(node.link.ip for node in near[:MAXIMUM_RECIPIENTS])
        return self._get_users(now, target.service, targets).get(target, ())

    def _get_users(
        self,
        now: float,
        service: str,
        targets: tuple[Target, ...],
    ) -> Users:
        cached = self._cached.get(service, _CachedUsers({}))
        revision = self._core.view.revision_of(service)
        alive = self._core.state_table.alive
        unchanged = (cached.revision, cached.alive) == (revision, alive)
        if unchanged or now - cached.moment < USERS_CACHED_SECONDS:
            return cached.users
        users = _compute_users(targets, self._list_domain_nodes(), len(alive))
        self._cached[service] = _CachedUsers(users, now, revision, alive)
        return users

    def _list_domain_nodes(self) -> tuple[NodeRecord, ...]:
        """Return the other live nodes of this failure domain.

        They are needed at each request, so they are cached: the state table
        creates a new set of live members at each change of reachability.
        """
        alive = self._core.state_table.alive
        if alive is not self._alive:
            self._alive = alive
            self._domain_nodes = tuple(_select_domain_nodes(self._core))
        return self._domain_nodes


def _select_domain_nodes(core: Core) -> Iterator[NodeRecord]:
    own = core.own.record
    here = own.locality
    for record in list_alive(core):
        there = record.locality
        is_same_domain = (there.region, there.failure_domain) == (
            here.region,
            here.failure_domain,
        )
        if is_same_domain and record.name != own.name:
            yield record


def _compute_users(
    targets: tuple[Target, ...],
    nodes: tuple[NodeRecord, ...],
    count: int,
) -> Users:
    users: dict[TargetId, list[str]] = defaultdict(list)
    for node in nodes:
        for target in choose_subset(targets, node.locality, count):
            users[target.id].append(node.link.ip)
    return {used: _limit(addresses) for used, addresses in users.items()}


def _limit(addresses: list[str]) -> tuple[str, ...]:
    return tuple(addresses[:MAXIMUM_RECIPIENTS])
