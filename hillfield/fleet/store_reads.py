"""Decide when a node reads the store itself; time is a value.

Each node that can reach the store must hold its entries even if all other
nodes are unreachable. The age of a node's entries is the time since a store
read, its own or a neighbour's, showed that they are all that the store holds.
A node reads the store when that age gets too high: watchers of the store
early and one after another, the other nodes only if no watcher did.
"""

from collections.abc import Iterator
from typing import Final

from hillfield.fleet.core import Core
from hillfield.fleet.heartbeats import compute_entries_age
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.recipients import list_others
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.replication.summary import hash_text

# Age in seconds from which watchers read the store: a watch may miss a change
# without an error.
WATCHER_READ_AGE: Final = 0.5
# Age in seconds from which any node reads the store. With the time to check,
# read and disseminate, a change is in force within the required 2 s.
MAX_AGE: Final = 1.2
# Seconds between the reads of two watchers that are next to each other in rank.
READ_STAGGER: Final = 0.15
# Age in seconds from which the only known watcher reads the store.
LONE_WATCHER_AGE: Final = 1.0
# Seconds without a message from any neighbour after which a node counts as
# cut off and no longer relies on others' store reads.
ISOLATION_TIMEOUT: Final = 0.8
# Neighbours whose last store read failed, from which a node that is no watcher
# takes the store to be unreachable for all nodes.
FAILED_READS_LIMIT: Final = 3


def is_read_due(core: Core, now: float) -> bool:
    """Return whether this node has to read the store now."""
    age = compute_entries_age(core, now)
    if age < WATCHER_READ_AGE:
        return False
    if core.own.record.relay_slot:
        return age >= compute_watcher_age_limit(core, now)
    if age < _compute_age_limit(core, now):
        return False
    return not defers_read(core, now)


def compute_watcher_age_limit(core: Core, now: float) -> float:
    """Return the age in seconds from which this watcher reads the store."""
    own = core.own.record
    watchers = sorted(_list_watchers(core), key=_rank_watcher)
    limit = WATCHER_READ_AGE + READ_STAGGER * watchers.index(own)
    if len(watchers) == 1:
        limit = LONE_WATCHER_AGE
    return min(limit, _compute_age_limit(core, now))


def defers_read(core: Core, now: float) -> bool:
    """Return whether this node leaves the read to a neighbour due to read too.

    Of those due, the one with the lowest hash of its name reads.
    """
    due = [link for link in core.reachable_links() if _is_due(link, now)]
    if sum(link.read_failed for link in due) >= FAILED_READS_LIMIT:
        return True
    names = [link.name for link in due if not link.read_failed]
    own = core.own.record.name
    return min((own, *names), key=hash_text) != own


def is_cut_off(core: Core, now: float) -> bool:
    """Return whether no neighbour has sent a message recently."""
    active = [link.last_activity for link in core.reachable_links()]
    return now - max(active, default=0) > ISOLATION_TIMEOUT


def _compute_age_limit(core: Core, now: float) -> float:
    return ISOLATION_TIMEOUT if is_cut_off(core, now) else MAX_AGE


def _is_due(link: Link, now: float) -> bool:
    alive = now - link.last_received <= ISOLATION_TIMEOUT
    return alive and now - link.confirmed >= MAX_AGE


def _list_watchers(core: Core) -> Iterator[NodeRecord]:
    yield core.own.record
    yield from (record for record in list_others(core) if record.relay_slot)


def _rank_watcher(record: NodeRecord) -> tuple[str, str, str]:
    """Return a sort key that puts a domain's watchers far apart."""
    domain, _, number = record.relay_slot.rpartition('/')
    return number, domain, record.name
