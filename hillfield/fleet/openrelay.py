"""Meet peers by one key a node, and feed the fleet without leases.

For a store whose calls are dear: who follows the store is agreed by what
the nodes tell each other. Two that follow it for the same slot do no harm;
the later by rank stops.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.backoff import Backoff
from hillfield.fleet.core import Core
from hillfield.fleet.feeds import FeedSettings, StoreFeed
from hillfield.fleet.heartbeats import find_age
from hillfield.fleet.peer_discovery import PeerDiscovery
from hillfield.fleet.store_reads import is_read_due
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.service import Fleet
from hillfield.fleet.slots import find_open_slot, rank_of
from hillfield.store.ports import Store
from hillfield.store.retries import Circuit, RetrySettings
from hillfield.timers import find_timer

# Seconds between looks at who follows the store.
CHECK_INTERVAL: Final = 0.3
# Seconds that a node which hears peers gives the others to tell of theirs.
START_DELAY: Final = 2.0
# Part of the leased relays' turn: a second follower here does no harm.
CLAIM_WAIT_FACTOR: Final = 0.3
# Seconds without a peer after which the store is asked for peers again; it
# doubles up to the longest.
DISCOVERY_PAUSE: Final = 2.0
DISCOVERY_PAUSE_LIMIT: Final = 30.0
# Seconds between looks at whether to read the store, by followers and others.
WATCHER_CHECK_INTERVAL: Final = 0.1
READ_CHECK_INTERVAL: Final = 0.2
# Seconds after which a reading that failed is repeated; it doubles up to the
# longest. That the store is back is noticed by followers, and told by them: of
# the others only those need to try that hear none, and they soon follow it.
READ_RETRY_PAUSE: Final = 0.5
WATCHER_RETRY_LIMIT: Final = 4.0
READ_RETRY_LIMIT: Final = 120.0
# The first calls of a node are repeated soon: nothing is served without.
FIRST_RETRY_WAIT: Final = 0.3
LONGEST_RETRY_WAIT: Final = 2.0
TRIAL: Final = 3.0
RETRIES: Final = RetrySettings(FIRST_RETRY_WAIT, LONGEST_RETRY_WAIT, TRIAL)

Step = Callable[[], Awaitable[bool]]


class OpenRelay:
    """Bridge the store and the fleet for as long as `run` runs."""

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        settings: FeedSettings,
        random: Random,
        journal: Journal,
    ) -> None:
        """Do nothing yet."""
        self._fleet = fleet
        self._random = random
        self._journal = journal
        self._circuit = Circuit(RETRIES, random)
        self._loaded = asyncio.Event()
        self._met = asyncio.Event()
        self._crossing = Backoff(DISCOVERY_PAUSE, DISCOVERY_PAUSE_LIMIT)
        self._feed = StoreFeed(
            fleet,
            store,
            settings,
            random,
            journal,
        )
        self._introductions = PeerDiscovery(
            fleet,
            store,
            self._feed,
            random,
        )

    async def run(self) -> None:
        """Load the configuration, meet peers, take turns; until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._start())
            group.create_task(self._keep_fresh())
            group.create_task(self._take_turns())

    async def _start(self) -> None:
        await self._insist(self._feed.load)
        self._loaded.set()
        await self._insist(self._introductions.join)
        self._met.set()
        await self._keep_in_touch()

    async def _keep_in_touch(self) -> None:
        """Look for peers in the store while no neighbour is heard."""
        seeking = Backoff(DISCOVERY_PAUSE, DISCOVERY_PAUSE_LIMIT)
        while True:
            await find_timer().pause(CHECK_INTERVAL)
            heard = self._fleet.state.core.heard_links()
            if seeking.is_due(monotonic(), well=bool(heard)):
                await self._introductions.discover()

    async def _keep_fresh(self) -> None:
        """Read the store when what is known of it gets too old."""
        await self._loaded.wait()
        following = Backoff(READ_RETRY_PAUSE, WATCHER_RETRY_LIMIT)
        reading = Backoff(READ_RETRY_PAUSE, READ_RETRY_LIMIT)
        while True:
            core = self._fleet.state.core
            follows = bool(core.own.record.relay_of)
            pause = following if follows else reading
            await find_timer().pause(
                WATCHER_CHECK_INTERVAL if follows else READ_CHECK_INTERVAL
            )
            now = monotonic()
            if pause.is_due(now, well=not is_read_due(core, now)):
                await self._read()

    async def _read(self) -> None:
        """Read the store, and say so where no follower has."""
        core = self._fleet.state.core
        if not core.own.record.relay_of:
            age = find_age(core, monotonic())
            heard = len(core.heard_links())
            detail = f'{age:.1f} s old, {heard} neighbours heard'
            self._journal.record(
                Occurrence(EventCode.STORE_NOT_FOLLOWED, detail=detail),
            )
        await self._feed.load()

    async def _insist(self, step: Step) -> None:
        """Take a step again and again until it succeeds."""
        while not await step():
            self._circuit.note_failure(monotonic())
            await asyncio.sleep(self._circuit.find_wait(monotonic()))
        self._circuit.note_success()

    async def _take_turns(self) -> None:
        await self._met.wait()
        if not self._introductions.ranks_for_slot():
            await asyncio.sleep(START_DELAY * self._random.uniform(0.5, 1))
        while True:
            opened = find_open_slot(self._fleet.state.core)
            if opened is not None:
                await asyncio.sleep(opened.wait * CLAIM_WAIT_FACTOR)
                again = find_open_slot(self._fleet.state.core)
                if again is not None and again.slot == opened.slot:
                    await self._hold(opened.slot)
            await find_timer().pause(CHECK_INTERVAL)

    async def _hold(self, slot: str) -> None:
        """Follow the store until another node does so in our place."""
        state = self._fleet.state
        state.set_relay_slot(slot)
        self._journal.record(Occurrence(EventCode.RELAY_STARTED, peer=slot))
        self._introductions.dial_other_domains()
        feeding = asyncio.create_task(self._feed.run())
        try:  # noqa: WPS501 -- cancelled or not, the feed must end
            while not self._has_better(slot):
                await find_timer().pause(CHECK_INTERVAL)
                await self._cross()
        finally:
            await _end(feeding)
            state.set_relay_slot('')
        self._journal.record(Occurrence(EventCode.RELAY_ENDED, peer=slot))

    async def _cross(self) -> None:
        """Look for other failure domains until one of them is heard."""
        core = self._fleet.state.core
        if self._crossing.is_due(monotonic(), well=reaches_other_domain(core)):
            await self._introductions.discover()
            self._introductions.dial_other_domains()

    def _has_better(self, slot: str) -> bool:
        """Tell whether a live node of a lower rank follows for the slot."""
        core = self._fleet.state.core
        mine = rank_of(slot, core.settings.name)
        return any(
            _holds(record, slot) and rank_of(slot, name) < mine
            for name, record in core.book.records.items()
            if name in core.book.alive and name != core.settings.name
        )


def reaches_other_domain(core: Core) -> bool:
    """Tell whether a peer of another failure domain is heard."""
    home = core.settings.locality.failure_domain
    return any(
        link.locality is not None and link.locality.failure_domain != home
        for link in core.heard_links()
    )


def _holds(record: NodeRecord, slot: str) -> bool:
    return record.relay_of == slot


async def _end(feeding: asyncio.Task[None]) -> None:
    feeding.cancel()
    await asyncio.gather(feeding, return_exceptions=True)
