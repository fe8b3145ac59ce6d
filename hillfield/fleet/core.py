"""The parts of a node's fleet state, shared by the code that updates it."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from math import inf

from hillfield.events import EventCode, Occurrence
from hillfield.fleet.evidence_view import EvidenceView
from hillfield.fleet.outbox import Outbox
from hillfield.fleet.peering.known_addresses import KnownAddresses
from hillfield.fleet.peering.link_table import Link, LinkTable
from hillfield.fleet.records import NodeRecord, RecordCodec
from hillfield.fleet.replication.entry_index import EntryIndex
from hillfield.fleet.replication.summary import Summary
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state_table import StateTable
from hillfield.fleet.view import TargetView
from hillfield.model import Address


class EntrySource(StrEnum):
    """Name how an entry came to this node; values appear in the journal."""

    WRITE = 'its own write'
    WATCH = 'a watch'
    READ = 'a reading'
    NEIGHBOUR = 'a neighbour'


class Subject(IntEnum):
    """Name what a hash or a list of versions covers."""

    STATE_UPDATES = 0
    ENTRIES = 1


@dataclass(slots=True)
class OwnState:
    """Hold this node's own state.

    `publish_delay` is the least number of seconds between two publications of
    the record; `confirmed` the time at which the node's entries were last
    known to be all that the store holds; `read_failed` whether a read of the
    store has failed since; `name_conflict` when another process was last seen
    to use this node's name.
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
    """Hold when each periodic task last ran, in monotonic seconds.

    `confirmation_sent` is the value of `confirmed` in the last heartbeats.
    """

    started: float = inf
    ticked: float = -inf
    heartbeat_sent: float = -inf
    links_selected: float = -inf
    members_refreshed: float = -inf
    addresses_tried: float = -inf
    wait_reported: float = -inf
    states_compared: float = -inf
    confirmation_sent: float = -inf

    def record_start(self, now: float) -> None:
        """Set the start time at the first tick."""
        if self.started == inf:
            self.started = now
            self.wait_reported = now


@dataclass(slots=True)
class Core:
    """Hold the parts of a node's fleet state.

    `lost_since` maps unreachable nodes to when they were lost,
    `banned_until` addresses to when their nodes may be chosen as peers again,
    `refusals_reported` reasons of refusals to when they were last reported.
    """

    settings: FleetSettings
    codec: RecordCodec
    state_table: StateTable
    entry_index: EntryIndex
    view: TargetView
    evidence_view: EvidenceView
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
            return self.entry_index.summary
        return self.state_table.summary

    def reachable_links(self) -> tuple[Link, ...]:
        """Return the links whose peers are reachable."""
        return tuple(link for link in self.links if link.up)

    def count(self, reason: str) -> None:
        """Count a fault by its reason."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def report(self, code: EventCode, peer: str = '', detail: str = '') -> None:
        """Record an event."""
        self.outbox.report(Occurrence(code, peer=peer, detail=detail))
