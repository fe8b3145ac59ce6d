"""Discover peers by one store key per node, and watch the store without leases.

For a store whose calls are expensive: which nodes watch it follows from the
records that nodes publish, not from the store. Two watchers for the same
slot do no harm; the one with the higher rank number stops.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.backoff import Backoff
from hillfield.fleet.core import Core
from hillfield.fleet.heartbeats import compute_entries_age
from hillfield.fleet.peer_discovery import PeerDiscovery
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.service import Fleet
from hillfield.fleet.slots import compute_rank, find_open_slot
from hillfield.fleet.store_feed import FeedSettings, StoreFeed
from hillfield.fleet.store_reads import is_read_due
from hillfield.store.ports import Store
from hillfield.store.retries import Circuit, RetrySettings
from hillfield.timers import get_shared_timer

# Seconds between checks of which nodes watch the store.
CHECK_INTERVAL: Final = 0.3
# Seconds before a started node claims a slot, so that it first receives the
# records of nodes that hold one.
START_DELAY: Final = 2.0
# Share of the wait that leased relays use between claims: a second watcher of
# a slot does no harm here.
CLAIM_WAIT_FACTOR: Final = 0.3
# Seconds without a reachable peer before the registered addresses are read
# again; they double up to the limit.
DISCOVERY_PAUSE: Final = 2.0
DISCOVERY_PAUSE_LIMIT: Final = 30.0
# Seconds between checks of whether to read the store, by watchers and others.
WATCHER_CHECK_INTERVAL: Final = 0.1
READ_CHECK_INTERVAL: Final = 0.2
# Seconds before a failed read is repeated; they double up to the limit.
# Watchers notice when the store is back and disseminate that. Other nodes need
# to try only while they reach no watcher, and then soon become watchers.
READ_RETRY_PAUSE: Final = 0.5
WATCHER_RETRY_LIMIT: Final = 4.0
READ_RETRY_LIMIT: Final = 120.0
# Seconds. A node's first calls are retried soon: it serves nothing before they
# succeed.
FIRST_RETRY_WAIT: Final = 0.3
LONGEST_RETRY_WAIT: Final = 2.0
TRIAL: Final = 3.0
RETRIES: Final = RetrySettings(FIRST_RETRY_WAIT, LONGEST_RETRY_WAIT, TRIAL)

Step = Callable[[], Awaitable[bool]]


class StoreWatcher:
    """Feed the store's entries to the fleet for as long as `run` runs."""

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        settings: FeedSettings,
        random: Random,
        journal: Journal,
    ) -> None:
        """Create a watcher that does nothing before `run`."""
        self._fleet = fleet
        self._random = random
        self._journal = journal
        self._circuit = Circuit(RETRIES, random)
        self._loaded = asyncio.Event()
        self._joined = asyncio.Event()
        self._crossing = Backoff(DISCOVERY_PAUSE, DISCOVERY_PAUSE_LIMIT)
        self._feed = StoreFeed(
            fleet,
            store,
            settings,
            random,
            journal,
        )
        self._discovery = PeerDiscovery(
            fleet,
            store,
            self._feed,
            random,
        )

    async def run(self) -> None:
        """Load the configuration, find peers and claim slots until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._start())
            group.create_task(self._keep_fresh())
            group.create_task(self._claim_slots())

    async def _start(self) -> None:
        await self._retry(self._feed.load)
        self._loaded.set()
        await self._retry(self._discovery.join)
        self._joined.set()
        await self._keep_peers()

    async def _keep_peers(self) -> None:
        """Read registered addresses while no neighbour is reachable."""
        discovering = Backoff(DISCOVERY_PAUSE, DISCOVERY_PAUSE_LIMIT)
        while True:
            await get_shared_timer().sleep_for(CHECK_INTERVAL)
            reachable = self._fleet.state.core.reachable_links()
            if discovering.is_due(monotonic(), succeeded=bool(reachable)):
                await self._discovery.discover()

    async def _keep_fresh(self) -> None:
        """Read the store when the node's entries get too old."""
        await self._loaded.wait()
        as_watcher = Backoff(READ_RETRY_PAUSE, WATCHER_RETRY_LIMIT)
        as_other = Backoff(READ_RETRY_PAUSE, READ_RETRY_LIMIT)
        while True:
            core = self._fleet.state.core
            watches = bool(core.own.record.relay_slot)
            backoff = as_watcher if watches else as_other
            await get_shared_timer().sleep_for(
                WATCHER_CHECK_INTERVAL if watches else READ_CHECK_INTERVAL
            )
            now = monotonic()
            if backoff.is_due(now, succeeded=not is_read_due(core, now)):
                await self._read()

    async def _read(self) -> None:
        """Read the store; record an event if this node is no watcher."""
        core = self._fleet.state.core
        if not core.own.record.relay_slot:
            age = compute_entries_age(core, monotonic())
            reachable = len(core.reachable_links())
            detail = f'{age:.1f} s old, {reachable} reachable neighbours'
            self._journal.record(
                Occurrence(EventCode.STORE_NOT_FOLLOWED, detail=detail),
            )
        await self._feed.load()

    async def _retry(self, step: Step) -> None:
        """Repeat a step, with pauses, until it succeeds."""
        while not await step():
            self._circuit.note_failure(monotonic())
            await asyncio.sleep(self._circuit.find_wait(monotonic()))
        self._circuit.note_success()

    async def _claim_slots(self) -> None:
        await self._joined.wait()
        if not self._discovery.ranks_for_slot():
            await asyncio.sleep(START_DELAY * self._random.uniform(0.5, 1))
        while True:
            open_slot = find_open_slot(self._fleet.state.core)
            if open_slot is not None:
                await asyncio.sleep(open_slot.wait * CLAIM_WAIT_FACTOR)
                again = find_open_slot(self._fleet.state.core)
                if again is not None and again.slot == open_slot.slot:
                    await self._hold(open_slot.slot)
            await get_shared_timer().sleep_for(CHECK_INTERVAL)

    async def _hold(self, slot: str) -> None:
        """Watch the store until a node of lower rank does so for this slot."""
        state = self._fleet.state
        state.set_relay_slot(slot)
        self._journal.record(Occurrence(EventCode.RELAY_STARTED, peer=slot))
        self._discovery.dial_other_domains()
        feeding = asyncio.create_task(self._feed.run())
        try:  # noqa: WPS501 -- the feed ends also when cancelled
            while not self._is_outranked(slot):
                await get_shared_timer().sleep_for(CHECK_INTERVAL)
                await self._reach_other_domains()
        finally:
            await _cancel(feeding)
            state.set_relay_slot('')
        self._journal.record(Occurrence(EventCode.RELAY_ENDED, peer=slot))

    async def _reach_other_domains(self) -> None:
        """Dial nodes of other failure domains until one is reachable."""
        core = self._fleet.state.core
        if self._crossing.is_due(
            monotonic(), succeeded=reaches_other_domain(core)
        ):
            await self._discovery.discover()
            self._discovery.dial_other_domains()

    def _is_outranked(self, slot: str) -> bool:
        """Return whether a live node of a lower rank holds the slot too."""
        core = self._fleet.state.core
        mine = compute_rank(slot, core.settings.name)
        return any(
            _holds(record, slot) and compute_rank(slot, name) < mine
            for name, record in core.state_table.records.items()
            if name in core.state_table.alive and name != core.settings.name
        )


def reaches_other_domain(core: Core) -> bool:
    """Return whether a peer of another failure domain is reachable."""
    home = core.settings.locality.failure_domain
    return any(
        link.locality is not None and link.locality.failure_domain != home
        for link in core.reachable_links()
    )


def _holds(record: NodeRecord, slot: str) -> bool:
    return record.relay_slot == slot


async def _cancel(feeding: asyncio.Task[None]) -> None:
    feeding.cancel()
    await asyncio.gather(feeding, return_exceptions=True)
