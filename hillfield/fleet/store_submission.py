"""Feed what the store holds into the fleet, never an older entry."""

from hillfield.configuration.entries import Entry
from hillfield.events import EventCode
from hillfield.fleet.core import EntrySource
from hillfield.fleet.state import FleetState
from hillfield.store.paging import Snapshot
from hillfield.store.ports import StoredValue


def submit_value(
    state: FleetState, stored: StoredValue, way: EntrySource
) -> bool:
    """Submit one stored value; False when it is no news."""
    return state.submit(
        Entry(stored.key, stored.revision, stored.payload),
        way,
    )


def submit_snapshot(
    state: FleetState,
    prefix: str,
    snapshot: Snapshot,
    known: int,
) -> None:
    """Submit a snapshot and the deletions that it shows.

    `known` is the newest revision that was held before it was read: a
    snapshot from before that comes of a store that was rolled back.
    """
    core = state.core
    if snapshot.revision < known:
        core.count('store-behind')
        revision = snapshot.revision
        core.report(
            EventCode.STORE_BEHIND,
            detail=f'store at {revision}, fleet at {known}',
        )
    present = {stored.key for stored in snapshot.entries}
    for stored in snapshot.entries:
        submit_value(state, stored, EntrySource.READING)
    for key in core.ledger.keys_under(prefix):
        if key not in present:
            # A key that was written after the snapshot has a higher
            # revision, which refuses this deletion.
            state.submit(
                Entry(key, snapshot.revision, b''), EntrySource.READING
            )
