"""The fleet as one node knows it: messages and time in, effects out."""

from math import inf

from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.detection.evidence import Evidence
from hillfield.fleet import membership
from hillfield.fleet.assembling import core_of
from hillfield.fleet.core import Way
from hillfield.fleet.effects import Effect, Event, Ticked
from hillfield.fleet.intake import take_event
from hillfield.fleet.peering import upkeep
from hillfield.fleet.publishing import Publisher
from hillfield.fleet.records import NodeState
from hillfield.fleet.replication import entry_spreading
from hillfield.fleet.replication.ledger import EntryStore
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address, Target


class FleetState:
    """Hold a node's share of the fleet; pure but for its own memory.

    `core` gives read access to members, targets, evidence and counts.
    """

    def __init__(self, settings: FleetSettings, store: EntryStore) -> None:
        """Start as the only member, with nothing published."""
        self.core = core_of(settings, store)
        self._publisher = Publisher(self.core)

    def take(self, now: float, event: Event) -> tuple[Effect, ...]:
        """Take an event in and return what is to be done."""
        core = self.core
        take_event(event, core, now)
        if isinstance(event, Ticked):
            self._publisher.publish_due(now)
        upkeep.note_heard(core)
        membership.publish_record(core, now)
        membership.follow_members(core, now)
        entry_spreading.pull(core, now)
        return core.outbox.take(now)

    def publish_targets(
        self,
        now: float,
        targets: tuple[Target, ...],
    ) -> None:
        """Set the targets of this host; they spread if they changed."""
        self._publisher.take_targets(now, targets)

    def publish_evidence(
        self,
        now: float,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Set what this node tells others of targets; empty ends it."""
        self._publisher.take_evidence(now, evidence)

    def submit(self, entry: Entry, way: Way = Way.WRITE) -> bool:
        """Adopt an entry of the store and spread it; False: not newer."""
        return entry_spreading.adopt(self.core, entry, None, way)

    def note_loaded(self) -> None:
        """Note that all entries of the store have been submitted."""
        self.core.own.loaded = True

    def hold_slot(self, slot: str) -> None:
        """Tell the fleet which relay slot this node holds (empty: none)."""
        self.core.own.record = replace(self.core.own.record, relay_of=slot)

    def offer_address(self, now: float, address: Address) -> None:
        """Remember an address at which a peer may be found."""
        self.core.addresses.offer(now, address)

    def dial(self, now: float, address: Address) -> None:
        """Link to an address at the next tick, and remember it."""
        self.offer_address(now, address)
        upkeep.dial(self.core, now, address)

    def leave(self, now: float) -> tuple[Effect, ...]:
        """Say goodbye; targets of this host stay for the orphan hold."""
        core = self.core
        core.own.record = replace(
            core.own.record,
            state=NodeState.LEAVING,
            hears=(),
        )
        core.own.published = -inf
        membership.publish_record(core, now)
        flushed = core.outbox.take(inf)
        for link in core.links:
            upkeep.close(core, link)
        return flushed + core.outbox.take(now)
