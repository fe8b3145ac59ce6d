"""Whose turn it is to read the store; time is a value.

Each node that can reach the store has to hold what it holds, whoever else is
away. So what a node knows of the store may only get so old, wherever it has
that from, and then it reads the store itself: followers soon, one after
another, and all others if none of them did.
"""

from collections.abc import Iterator
from typing import Final

from hillfield.fleet.audience import list_others
from hillfield.fleet.core import Core
from hillfield.fleet.heartbeats import find_age
from hillfield.fleet.peering.link_table import Link
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.replication.summary import hash_text

# Seconds for which a reading tells all nodes what the store holds: a watch may
# hear nothing of a change and look well.
WATCHER_READ_AGE: Final = 0.5
# Seconds after which what is known of the store is too old for any node. With
# those until it has looked, read and told it stays within the two seconds in
# which a change is to be in force.
MAX_AGE: Final = 1.2
# Seconds by which a follower lets the one before it go first.
READ_STAGGER: Final = 0.15
# Seconds between two readings by one who is the only follower in reach.
LONE_WATCHER_AGE: Final = 1.0
# Seconds without a sign of any neighbour after which a node is cut off.
ISOLATION_TIMEOUT: Final = 0.8
# Neighbours that read in vain of late, from which a node that is no follower
# takes it that the store is away for all.
FAILED_READS_LIMIT: Final = 3


def is_read_due(core: Core, now: float) -> bool:
    """Tell whether this node is to read the store now."""
    age = find_age(core, now)
    if age < WATCHER_READ_AGE:
        return False
    if core.own.record.relay_of:
        return age >= compute_watcher_age_limit(core, now)
    if age < _find_limit(core, now):
        return False
    return not defers_read(core, now)


def compute_watcher_age_limit(core: Core, now: float) -> float:
    """Return how old a follower lets what it knows of the store get."""
    own = core.own.record
    followers = sorted(_list_followers(core), key=_rank_follower)
    patience = WATCHER_READ_AGE + READ_STAGGER * followers.index(own)
    if len(followers) == 1:
        patience = LONE_WATCHER_AGE
    return min(patience, _find_limit(core, now))


def defers_read(core: Core, now: float) -> bool:
    """Tell whether a node leaves it to neighbours whose knowledge is as old."""
    rivals = [link for link in core.heard_links() if _is_rival(link, now)]
    if sum(link.read_failed for link in rivals) >= FAILED_READS_LIMIT:
        return True
    names = [link.name for link in rivals if not link.read_failed]
    own = core.own.record.name
    return min((own, *names), key=hash_text) != own


def is_cut_off(core: Core, now: float) -> bool:
    """Tell whether no neighbour has given a sign of late."""
    signs = [link.last_activity for link in core.heard_links()]
    return now - max(signs, default=0) > ISOLATION_TIMEOUT


def _find_limit(core: Core, now: float) -> float:
    return ISOLATION_TIMEOUT if is_cut_off(core, now) else MAX_AGE


def _is_rival(link: Link, now: float) -> bool:
    lives = now - link.last_received <= ISOLATION_TIMEOUT
    return lives and now - link.confirmed >= MAX_AGE


def _list_followers(core: Core) -> Iterator[NodeRecord]:
    yield core.own.record
    yield from (record for record in list_others(core) if record.relay_of)


def _rank_follower(record: NodeRecord) -> tuple[str, str, str]:
    """Put followers of one failure domain far apart."""
    domain, _, number = record.relay_of.rpartition('/')
    return number, domain, record.name
