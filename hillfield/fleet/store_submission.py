"""Submit values and snapshots of the store to the fleet."""

from hillfield.configuration.entries import Entry
from hillfield.events import EventCode
from hillfield.fleet.core import EntrySource
from hillfield.fleet.state import FleetState
from hillfield.store.paging import Snapshot
from hillfield.store.ports import StoredValue


def submit_value(
    state: FleetState, stored: StoredValue, entry_source: EntrySource
) -> bool:
    """Submit one stored value; return False if it is not newer."""
    return state.submit(
        Entry(stored.key, stored.revision, stored.payload),
        entry_source,
    )


def submit_snapshot(
    state: FleetState,
    prefix: str,
    snapshot: Snapshot,
    known: int,
) -> None:
    """Submit a snapshot and the deletions that it shows.

    `known` is the newest revision held before the snapshot was read: an older
    snapshot comes from a store that was rolled back.
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
        submit_value(state, stored, EntrySource.READ)
    for key in core.entry_index.keys_under(prefix):
        if key not in present:
            # If the key was written after the snapshot, its revision is
            # higher and this deletion is refused.
            state.submit(Entry(key, snapshot.revision, b''), EntrySource.READ)
