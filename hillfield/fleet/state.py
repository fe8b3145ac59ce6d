"""One node's view of the fleet: a state machine of events and effects."""

from math import inf

from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.detection.evidence import Evidence
from hillfield.fleet import membership
from hillfield.fleet.core import EntrySource
from hillfield.fleet.core_builder import build_core
from hillfield.fleet.effects import Effect, Event, Ticked
from hillfield.fleet.event_handlers import apply_event
from hillfield.fleet.peering import link_maintenance
from hillfield.fleet.publishing import Publisher
from hillfield.fleet.records import NodeState
from hillfield.fleet.replication import entry_dissemination
from hillfield.fleet.replication.entry_index import EntryStore
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address, Target


class FleetState:
    """Hold a node's fleet state; does no I/O and reads no clock.

    `core` gives read access to members, targets, evidence and counts.
    """

    def __init__(self, settings: FleetSettings, store: EntryStore) -> None:
        """Create a state with this node as the only member."""
        self.core = build_core(settings, store)
        self._publisher = Publisher(self.core)

    def handle_event(self, now: float, event: Event) -> tuple[Effect, ...]:
        """Apply an event and return the effects to run."""
        core = self.core
        apply_event(event, core, now)
        if isinstance(event, Ticked):
            self._publisher.publish_due(now)
        link_maintenance.update_reachable_peers(core)
        membership.publish_record(core, now)
        membership.refresh_members(core, now)
        entry_dissemination.request_missing_entries(core, now)
        return core.outbox.pop_effects(now)

    def publish_targets(
        self,
        now: float,
        targets: tuple[Target, ...],
    ) -> None:
        """Set the targets of this host and disseminate them if changed."""
        self._publisher.update_targets(now, targets)

    def publish_evidence(
        self,
        now: float,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Set the evidence that this node publishes; empty withdraws it."""
        self._publisher.update_evidence(now, evidence)

    def submit(
        self, entry: Entry, entry_source: EntrySource = EntrySource.WRITE
    ) -> bool:
        """Adopt and announce an entry; return False if it is not newer."""
        return entry_dissemination.adopt_entry(
            self.core, entry, None, entry_source
        )

    def mark_loaded(self) -> None:
        """Record that all entries of the store have been submitted."""
        self.core.own.loaded = True

    def set_relay_slot(self, slot: str) -> None:
        """Publish which relay slot this node holds (empty: none)."""
        self.core.own.record = replace(self.core.own.record, relay_slot=slot)

    def add_address(self, now: float, address: Address) -> None:
        """Remember an address at which a peer may listen."""
        self.core.addresses.add(now, address)

    def dial(self, now: float, address: Address) -> None:
        """Open a link to an address at the next tick, and remember it."""
        self.add_address(now, address)
        link_maintenance.dial_peer(self.core, now, address)

    def leave(self, now: float) -> tuple[Effect, ...]:
        """Publish that this node leaves and close its links.

        Other nodes keep the targets of this host for `orphan_hold` seconds.
        """
        core = self.core
        core.own.record = replace(
            core.own.record,
            state=NodeState.LEAVING,
            receives_from=(),
        )
        core.own.published = -inf
        membership.publish_record(core, now)
        flushed = core.outbox.pop_effects(inf)
        for link in core.links:
            link_maintenance.close_link(core, link)
        return flushed + core.outbox.pop_effects(now)
