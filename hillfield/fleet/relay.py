"""Hold a leased relay slot when one is open, and feed the fleet from it."""

import asyncio
from contextlib import suppress
from random import Random
from typing import Final

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.feeds import FeedSettings, StoreFeed
from hillfield.fleet.service import Fleet
from hillfield.fleet.slots import (
    OpenSlot,
    find_open_slot,
    prefix_of,
    make_configuration_prefixes,
)
from hillfield.model import parse_address
from hillfield.store.lease_clock import LeaseSettings
from hillfield.store.leases import LeaseKeeper
from hillfield.store.ports import Accepted, Change, Store

CHECK_INTERVAL: Final = 0.5
DISCOVERY_PAUSE: Final = 2.0
DISCOVERY_PAUSE_LIMIT: Final = 30.0
GROWTH: Final = 2
RELAY_ENTRIES_READ: Final = 64
RELEASE_TIMEOUT: Final = 1.0
# Short, since a lost holder's slot stays taken for so long: a renewal each
# 1.3 to 1.7 s at up to two slots of a failure domain.
LEASE: Final = LeaseSettings(seconds=5, margin=1)


class Relay:
    """Bridge the store and the fleet for as long as `run` runs.

    A holder that was paused beyond its lease does no harm: what it feeds in
    is older than what the fleet holds, and is refused by its revision.
    """

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        random: Random,
        journal: Journal,
    ) -> None:
        """Do nothing yet."""
        self._fleet = fleet
        self._store = store
        self._random = random
        self._journal = journal
        self._pause = DISCOVERY_PAUSE
        self._sought = -DISCOVERY_PAUSE_LIMIT
        self._feed = StoreFeed(
            fleet,
            store,
            FeedSettings(make_configuration_prefixes(fleet.settings.cluster)),
            random,
            journal,
        )

    async def run(self) -> None:
        """Look for peers and slots until cancelled.

        A slot that is held then is given up, so await it after cancelling.
        """
        await asyncio.sleep(self._random.uniform(0, CHECK_INTERVAL))
        while True:
            await self._seek_peers()
            opened = find_open_slot(self._fleet.state.core)
            if opened is not None:
                await self._take_turn(opened)
            await asyncio.sleep(CHECK_INTERVAL)

    async def _seek_peers(self) -> None:
        """Read the relay entries while no peer is heard, ever less often."""
        if self._fleet.state.core.heard_links():
            self._pause = DISCOVERY_PAUSE
            return
        now = monotonic()
        pause = self._pause * self._random.uniform(0.5, 1)
        if now - self._sought < pause:
            return
        self._sought = now
        self._pause = min(self._pause * GROWTH, DISCOVERY_PAUSE_LIMIT)
        await self._offer_relays()

    async def _offer_relays(self) -> None:
        prefix = prefix_of(self._fleet.settings.cluster)
        read = await self._store.read_range(prefix, '', RELAY_ENTRIES_READ)
        if read.is_error():
            self._feed.report_error(read.error)
            return
        for stored in read.ok.entries:
            address = parse_address(stored.payload.decode('utf-8', 'replace'))
            if address.is_ok():
                self._fleet.state.add_address(monotonic(), address.ok)

    async def _take_turn(self, opened: OpenSlot) -> None:
        """Wait for our turn; take the slot if it is still open."""
        await asyncio.sleep(
            opened.wait + self._random.uniform(0, CHECK_INTERVAL)
        )
        again = find_open_slot(self._fleet.state.core)
        if again is None or again.slot != opened.slot:
            return
        key = prefix_of(self._fleet.settings.cluster) + opened.slot
        standing = await self._store.get(key)
        if standing.is_error():
            self._feed.report_error(standing.error)
        elif standing.ok is None:
            await self._hold(opened.slot, key)
        else:
            # Its holder is gone and the lease still runs, or it is not in
            # our view yet.
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
        try:  # noqa: WPS501 -- cancelled or not, the slot must be given up
            await self._serve(slot, change, keeper)
        finally:
            await _give_up(keeper)

    async def _serve(
        self,
        slot: str,
        change: Change,
        keeper: LeaseKeeper,
    ) -> None:
        """Take the slot by a change and feed the fleet until it is lost."""
        swapped = await self._store.swap((change,))
        if swapped.is_error() or not isinstance(swapped.ok, Accepted):
            return
        self._fleet.state.set_relay_slot(slot)
        self._journal.record(Occurrence(EventCode.RELAY_STARTED, peer=slot))
        tasks = [
            asyncio.create_task(keeper.run()),
            asyncio.create_task(self._feed.run()),
        ]
        try:  # noqa: WPS501 -- cancelled or not, the tasks must end
            await self._wait_for_loss(keeper, keeper.number)
        finally:
            await _end(tasks)
            self._fleet.state.set_relay_slot('')
        self._journal.record(Occurrence(EventCode.RELAY_ENDED, peer=slot))

    async def _wait_for_loss(self, keeper: LeaseKeeper, number: int) -> None:
        while keeper.number == number:
            await asyncio.sleep(CHECK_INTERVAL)
            await self._seek_lost()

    async def _seek_lost(self) -> None:
        """Now and then find relays whose nodes aren't in our view.

        So parts of a fleet that have lost each other's addresses meet again.
        """
        now = monotonic()
        if now - self._sought >= DISCOVERY_PAUSE_LIMIT:
            self._sought = now
            await self._offer_relays()


async def _give_up(keeper: LeaseKeeper) -> None:
    """Free the slot, within a bounded time; else its lease lapses."""
    with suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_TIMEOUT):
            await keeper.give_up()


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
