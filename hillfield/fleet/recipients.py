"""Live members, and the nodes to which a gate sends its load reports."""

from collections.abc import Iterable, Iterator
from functools import partial

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from hillfield.fleet.core import Core
from hillfield.fleet.records import NodeRecord


class ReportRecipients(Struct, frozen=True):
    """Hold IP addresses of nodes in other failure domains of the region.

    `remote_relays` has one node of each domain, which forwards the reports there;
    `remote_nodes` all nodes. Only reports from `remote_nodes` are forwarded to the
    own failure domain.
    """

    remote_relays: tuple[str, ...] = ()
    remote_nodes: frozenset[str] = frozenset()


def list_alive(core: Core) -> Iterator[NodeRecord]:
    """Yield the records of the live members."""
    records = core.state_table.records
    for name in core.state_table.alive & records.keys():
        yield records[name]


def list_others(core: Core) -> list[NodeRecord]:
    """Return the records of the live members other than this node."""
    own = core.own.record.name
    return [record for record in list_alive(core) if record.name != own]


def choose_recipients(
    own: NodeRecord,
    others: Iterable[NodeRecord],
) -> ReportRecipients:
    """Return the recipients of a node's load reports.

    Each other failure domain of the region is reached through one of its
    nodes, which forwards the reports to the others; each gate picks its own
    one by rendezvous hashing.
    """
    here = own.locality
    domains: dict[str, list[NodeRecord]] = {}
    for other in others:
        if other.locality.region == here.region:
            domain = other.locality.failure_domain
            domains.setdefault(domain, []).append(other)
    domains.pop(here.failure_domain, None)
    weigh = partial(_weigh, own)
    return ReportRecipients(
        tuple(min(nodes, key=weigh).link.ip for nodes in domains.values()),
        frozenset(node.link.ip for nodes in domains.values() for node in nodes),
    )


def _weigh(own: NodeRecord, other: NodeRecord) -> int:
    return xxh3_64_intdigest(f'{own.name} {other.name}'.encode())
