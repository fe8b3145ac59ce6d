import asyncio
from random import Random

import pytest

from hillfield.emulator.store_memory import MemoryStore as StandIn
from hillfield.events import EventCode, ListJournal
from hillfield.fleet import Fleet, FleetListeners, FleetSettings
from hillfield.fleet.mesh import MemoryStore
from hillfield.fleet.slots import find_open_slot
from hillfield.fleet.state import FleetState
from hillfield.fleet.store_relay import StoreRelay
from hillfield.fleet.store_submission import submit_snapshot
from hillfield.model import Address, Locality
from hillfield.store.paging import Snapshot
from hillfield.store.ports import Change, StoredValue

ANY_PORT = Address('127.0.0.1', 0)
KEY = '/hillfield/north/templates/claims'
PATIENCE = 20


def settings_of(name):
    return FleetSettings(
        cluster='north',
        key=b'secret',
        name=name,
        incarnation=7,
        locality=Locality('r', 'd', name),
        link=ANY_PORT,
        control=ANY_PORT,
        caller=ANY_PORT,
    )


def fleet_of(name, journal):
    listeners = FleetListeners(
        lambda service, targets: None,
        lambda evidence: None,
        lambda entry: None,
    )
    return Fleet(settings_of(name), MemoryStore(), listeners, journal)


async def until(condition):
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.02)


async def start(name, store, journal):
    fleet = fleet_of(name, journal)
    assert (await fleet.start()).is_ok()
    relay = StoreRelay(fleet, store, Random(name), journal)
    return fleet, asyncio.create_task(relay.run())


async def stop(fleet, task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await fleet.stop()


def is_whole(core):
    return core.own.ready and len(core.state_table.alive) == 2


async def run_two_nodes(store):
    """Run two nodes without known addresses, which meet through the store."""
    journal = ListJournal()
    one, first = await start('one', store, journal)
    two, second = await start('two', store, journal)
    await until(lambda: is_whole(one.state.core))
    await until(lambda: is_whole(two.state.core))
    await until(lambda: two.state.core.entry_index.entry(KEY))
    await stop(one, first)
    await stop(two, second)
    return journal


def test_nodes_discover_peers_and_entries_through_the_store_alone():
    async def scenario():
        store = StandIn()
        await store.swap((Change(KEY, 0, b'template'),))
        return await run_two_nodes(store)

    journal = asyncio.run(scenario())
    codes = {occurrence.code for occurrence in journal.occurrences}
    assert EventCode.RELAY_STARTED in codes
    assert EventCode.CONFIGURATION_READY in codes


SLOT_KEY = '/hillfield/north/relays/d/0'


class UnresponsiveStore(StandIn):
    """Never answer the revocation of a lease."""

    async def revoke(self, lease):
        """Wait without end."""
        await asyncio.Event().wait()


async def hold_and_leave(store):
    """Hold a slot, then stop; return the slot's value in the store."""
    fleet, task = await start('one', store, ListJournal())
    own = fleet.state.core.own
    await until(lambda: own.record.relay_slot)
    held = await store.get(SLOT_KEY)
    async with asyncio.timeout(PATIENCE):
        await stop(fleet, task)
    assert held.ok is not None
    assert not own.record.relay_slot
    return (await store.get(SLOT_KEY)).ok


def test_stopped_relay_releases_its_slot():
    assert asyncio.run(hold_and_leave(StandIn())) is None


def test_stopping_waits_for_the_store_only_for_a_bounded_time():
    assert asyncio.run(hold_and_leave(UnresponsiveStore())) is not None


@pytest.mark.parametrize('revision', [3, 9])
def test_snapshot_deletes_absent_entries_but_no_newer_ones(revision):
    state = FleetState(settings_of('one'), MemoryStore())
    prefix = '/hillfield/north/templates/'
    submit_snapshot(
        state,
        prefix,
        Snapshot(5, (StoredValue(KEY, 5, b'kept'),)),
        known=0,
    )
    submit_snapshot(state, prefix, Snapshot(revision, ()), known=5)
    held = state.core.entry_index.entry(KEY)
    assert held is not None
    deleted = held.payload == b''
    assert deleted == (revision == 9)
    assert state.core.counts.get('store-behind', 0) == (revision == 3)


def test_slot_holder_claims_no_second_slot():
    state = FleetState(settings_of('one'), MemoryStore())
    opened = find_open_slot(state.core)
    assert opened is not None and opened.slot == 'd/0'
    state.set_relay_slot('d/0')
    assert find_open_slot(state.core) is None
