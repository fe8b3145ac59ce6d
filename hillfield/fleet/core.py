"""The parts of a node's fleet state, shared by the code that handles it."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from math import inf

from hillfield.events import EventCode, Occurrence
from hillfield.fleet.state_table import StateTable
from hillfield.fleet.findings import FindingsView
from hillfield.fleet.outbox import Outbox
from hillfield.fleet.peering.known_addresses import KnownAddresses
from hillfield.fleet.peering.link_table import Link, LinkTable
from hillfield.fleet.records import NodeRecord, RecordCodec
from hillfield.fleet.replication.entry_index import EntryIndex
from hillfield.fleet.replication.summary import Summary
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.view import TargetView
from hillfield.model import Address


class EntrySource(StrEnum):
    """Name by which way an entry came to this node."""

    WRITE = 'its own write'
    WATCH = 'a watch'
    READING = 'a reading'
    NEIGHBOUR = 'a neighbour'


class Subject(IntEnum):
    """Name what a hash or a list of versions is about."""

    STATE_UPDATES = 0
    ENTRIES = 1


@dataclass(slots=True)
class OwnState:
    """Hold what this node says of itself.

    `publish_delay` is how many seconds after its record was published it may be
    published anew; `confirmed` when its entries were last known to be all
    that the store holds, `read_failed` that reading it has failed since.
    """

    record: NodeRecord
    incarnation: int
    versions: dict[str, int] = field(default_factory=dict)
    published: float = -inf
    publish_delay: float = 0
    name_conflict: float = -inf
    loaded: bool = False
    ready: bool = False
    confirmed: float = -inf
    read_failed: bool = False


@dataclass(slots=True)
class Timestamps:
    """Hold when things were done last."""

    started: float = inf
    ticked: float = -inf
    heartbeat_sent: float = -inf
    links_selected: float = -inf
    members_refreshed: float = -inf
    addresses_tried: float = -inf
    wait_reported: float = -inf
    hashes_sent: float = -inf
    confirmation_sent: float = -inf

    def record_start(self, now: float) -> None:
        """Take the first tick as the start."""
        if self.started == inf:
            self.started = now
            self.wait_reported = now


@dataclass(slots=True)
class Core:
    """Hold the parts of the state."""

    settings: FleetSettings
    codec: RecordCodec
    book: StateTable
    ledger: EntryIndex
    view: TargetView
    findings: FindingsView
    links: LinkTable
    outbox: Outbox
    addresses: KnownAddresses
    own: OwnState
    times: Timestamps = field(default_factory=Timestamps)
    lost_since: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    refusals_reported: dict[str, float] = field(default_factory=dict)
    banned_until: dict[Address, float] = field(default_factory=dict)
    circle: frozenset[str] = frozenset()

    def get_summary(self, subject: int) -> Summary:
        """Return the summary of a subject."""
        if subject == Subject.ENTRIES:
            return self.ledger.summary
        return self.book.summary

    def heard_links(self) -> tuple[Link, ...]:
        """Return the links whose peers are heard."""
        return tuple(link for link in self.links if link.up)

    def count(self, reason: str) -> None:
        """Count something that went wrong."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def report(self, code: EventCode, peer: str = '', detail: str = '') -> None:
        """Record an event."""
        self.outbox.report(Occurrence(code, peer=peer, detail=detail))
