"""Build the parts of a node's fleet state."""

from hillfield.fleet.core import Core, OwnState
from hillfield.fleet.evidence_view import EvidenceView
from hillfield.fleet.outbox import Outbox
from hillfield.fleet.peering.known_addresses import KnownAddresses
from hillfield.fleet.peering.link_table import LinkTable
from hillfield.fleet.records import NodeRecord, RecordCodec
from hillfield.fleet.replication.entry_index import EntryIndex, EntryStore
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state_table import StateTable
from hillfield.fleet.view import TargetView


def build_core(settings: FleetSettings, store: EntryStore) -> Core:
    """Return the initial state of a node, with itself as the only member."""
    codec = RecordCodec()
    state_table = StateTable(codec)
    record = NodeRecord(
        name=settings.name,
        locality=settings.locality,
        link=settings.link,
        control=settings.control,
        caller=settings.caller,
    )
    return Core(
        settings=settings,
        codec=codec,
        state_table=state_table,
        entry_index=EntryIndex(store, settings.pull_again),
        view=TargetView(state_table, codec),
        evidence_view=EvidenceView(state_table, codec, settings.evidence_life),
        links=LinkTable(),
        outbox=Outbox(settings),
        addresses=KnownAddresses(settings),
        own=OwnState(record, settings.incarnation),
    )
