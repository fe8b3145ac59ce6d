"""The parts of a node's fleet state, shared by the code that handles it."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from math import inf

from hillfield.events import EventCode, Occurrence
from hillfield.fleet.book import StatementBook
from hillfield.fleet.findings import FindingsView
from hillfield.fleet.outbox import Outbox
from hillfield.fleet.peering.known_addresses import KnownAddresses
from hillfield.fleet.peering.link_table import Link, LinkTable
from hillfield.fleet.records import NodeRecord, RecordCodec
from hillfield.fleet.replication.ledger import EntryLedger
from hillfield.fleet.replication.summary import Summary
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.view import TargetView
from hillfield.model import Address


class Way(StrEnum):
    """Name by which way an entry came to this node."""

    WRITE = 'its own write'
    WATCH = 'a watch'
    READING = 'a reading'
    NEIGHBOUR = 'a neighbour'


class Subject(IntEnum):
    """Name what a hash or a list of versions is about."""

    STATEMENTS = 0
    ENTRIES = 1


@dataclass(slots=True)
class Own:
    """Hold what this node says of itself.

    `pause` is how many seconds after its record was published it may be
    published anew; `confirmed` when its entries were last known to be all
    that the store holds, `in_vain` that reading it has failed since.
    """

    record: NodeRecord
    incarnation: int
    versions: dict[str, int] = field(default_factory=dict)
    published: float = -inf
    pause: float = 0
    taken: float = -inf
    loaded: bool = False
    ready: bool = False
    confirmed: float = -inf
    in_vain: bool = False


@dataclass(slots=True)
class Clock:
    """Hold when things were done last."""

    started: float = inf
    ticked: float = -inf
    beat: float = -inf
    chosen: float = -inf
    refreshed: float = -inf
    sought: float = -inf
    waited: float = -inf
    compared: float = -inf
    told: float = -inf

    def note_started(self, now: float) -> None:
        """Take the first tick as the start."""
        if self.started == inf:
            self.started = now
            self.waited = now


@dataclass(slots=True)
class Core:
    """Hold the parts of the state."""

    settings: FleetSettings
    codec: RecordCodec
    book: StatementBook
    ledger: EntryLedger
    view: TargetView
    findings: FindingsView
    links: LinkTable
    outbox: Outbox
    addresses: KnownAddresses
    own: Own
    clock: Clock = field(default_factory=Clock)
    lost: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    reported: dict[str, float] = field(default_factory=dict)
    banned: dict[Address, float] = field(default_factory=dict)
    circle: frozenset[str] = frozenset()

    def summary_of(self, subject: int) -> Summary:
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
