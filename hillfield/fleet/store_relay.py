"""Claim a relay slot by a lease, and feed store entries to the fleet."""

import asyncio
from contextlib import suppress
from random import Random
from typing import Final

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.service import Fleet
from hillfield.fleet.slots import (
    OpenSlot,
    find_open_slot,
    make_configuration_prefixes,
    make_relay_prefix,
)
from hillfield.fleet.store_feed import FeedSettings, StoreFeed
from hillfield.model import parse_address
from hillfield.store.lease_clock import LeaseSettings
from hillfield.store.leases import LeaseKeeper
from hillfield.store.ports import Accepted, Change, Store

# Seconds between two checks for an open slot or a lost lease.
CHECK_INTERVAL: Final = 0.5
# Seconds between two reads of the relay entries while no peer is reachable;
# they double up to the limit.
DISCOVERY_PAUSE: Final = 2.0
DISCOVERY_PAUSE_LIMIT: Final = 30.0
GROWTH: Final = 2
RELAY_ENTRIES_READ: Final = 64
# Seconds that a stopping node waits for the store to end its lease.
RELEASE_TIMEOUT: Final = 1.0
# Short, since the slot of a lost holder stays claimed until its lease expires.
# It costs a renewal every 1.3 to 1.7 s for each of the two slots of a failure
# domain.
LEASE: Final = LeaseSettings(seconds=5, margin=1)


class StoreRelay:
    """Feed store entries to the fleet while this node holds a relay slot.

    A holder that was paused for longer than its lease does no harm: its
    entries are older than those of the fleet and are refused by revision.
    """

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        random: Random,
        journal: Journal,
    ) -> None:
        """Create a relay that does nothing before `run`."""
        self._fleet = fleet
        self._store = store
        self._random = random
        self._journal = journal
        self._discovery_pause = DISCOVERY_PAUSE
        self._discovered = -DISCOVERY_PAUSE_LIMIT
        self._feed = StoreFeed(
            fleet,
            store,
            FeedSettings(make_configuration_prefixes(fleet.settings.cluster)),
            random,
            journal,
        )

    async def run(self) -> None:
        """Discover peers and claim open slots until cancelled.

        Await it after cancelling: it then releases a slot that it holds.
        """
        await asyncio.sleep(self._random.uniform(0, CHECK_INTERVAL))
        while True:
            await self._discover_peers()
            open_slot = find_open_slot(self._fleet.state.core)
            if open_slot is not None:
                await self._claim(open_slot)
            await asyncio.sleep(CHECK_INTERVAL)

    async def _discover_peers(self) -> None:
        """Read the relay entries with growing pauses until a peer is up."""
        if self._fleet.state.core.reachable_links():
            self._discovery_pause = DISCOVERY_PAUSE
            return
        now = monotonic()
        pause = self._discovery_pause * self._random.uniform(0.5, 1)
        if now - self._discovered < pause:
            return
        self._discovered = now
        self._discovery_pause = min(
            self._discovery_pause * GROWTH, DISCOVERY_PAUSE_LIMIT
        )
        await self._read_relays()

    async def _read_relays(self) -> None:
        prefix = make_relay_prefix(self._fleet.settings.cluster)
        read = await self._store.read_range(prefix, '', RELAY_ENTRIES_READ)
        if read.is_error():
            self._feed.report_error(read.error)
            return
        for stored in read.ok.entries:
            address = parse_address(stored.payload.decode('utf-8', 'replace'))
            if address.is_ok():
                self._fleet.state.add_address(monotonic(), address.ok)

    async def _claim(self, open_slot: OpenSlot) -> None:
        """Claim the slot if it is still open after this node's wait."""
        await asyncio.sleep(
            open_slot.wait + self._random.uniform(0, CHECK_INTERVAL)
        )
        again = find_open_slot(self._fleet.state.core)
        if again is None or again.slot != open_slot.slot:
            return
        key = make_relay_prefix(self._fleet.settings.cluster) + open_slot.slot
        current = await self._store.get(key)
        if current.is_error():
            self._feed.report_error(current.error)
        elif current.ok is None:
            await self._hold(open_slot.slot, key)
        else:
            # The holder is lost and its lease has not expired yet, or this
            # node does not have its record yet.
            await asyncio.sleep(
                self._random.uniform(CHECK_INTERVAL, DISCOVERY_PAUSE)
            )

    async def _hold(self, slot: str, key: str) -> None:
        keeper = LeaseKeeper(
            self._store,
            LEASE,
            self._random,
            self._journal,
        )
        await keeper.step()
        if not keeper.number:
            return
        address = str(self._fleet.settings.link).encode()
        change = Change(key, 0, address, keeper.number)
        try:  # noqa: WPS501 -- the slot is released also when cancelled
            await self._serve(slot, change, keeper)
        finally:
            await _release(keeper)

    async def _serve(
        self,
        slot: str,
        change: Change,
        keeper: LeaseKeeper,
    ) -> None:
        """Write the slot's key and feed the fleet until the lease is lost."""
        swapped = await self._store.swap((change,))
        if swapped.is_error() or not isinstance(swapped.ok, Accepted):
            return
        self._fleet.state.set_relay_slot(slot)
        self._journal.record(Occurrence(EventCode.RELAY_STARTED, peer=slot))
        tasks = [
            asyncio.create_task(keeper.run()),
            asyncio.create_task(self._feed.run()),
        ]
        try:  # noqa: WPS501 -- the tasks end also when cancelled
            await self._wait_for_loss(keeper, keeper.number)
        finally:
            await _cancel(tasks)
            self._fleet.state.set_relay_slot('')
        self._journal.record(Occurrence(EventCode.RELAY_ENDED, peer=slot))

    async def _wait_for_loss(self, keeper: LeaseKeeper, number: int) -> None:
        while keeper.number == number:
            await asyncio.sleep(CHECK_INTERVAL)
            await self._rediscover()

    async def _rediscover(self) -> None:
        """Read the relay entries every 30 s to find nodes unknown here.

        Parts of a fleet that have lost each other's addresses merge by this.
        """
        now = monotonic()
        if now - self._discovered >= DISCOVERY_PAUSE_LIMIT:
            self._discovered = now
            await self._read_relays()


async def _release(keeper: LeaseKeeper) -> None:
    """End the lease, within a bounded time; otherwise it expires."""
    with suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_TIMEOUT):
            await keeper.give_up()


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
