"""Effects requested by the state, with small messages put into batches."""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from hillfield.events import Occurrence
from hillfield.fleet.effects import Dial, Disconnect, Effect, Report, SendTo
from hillfield.fleet.messages import (
    Have,
    Message,
    StateUpdate,
    StateUpdates,
    Version,
)
from hillfield.fleet.pages import split_into_pages
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address

# State updates or offers that wait for one link; further ones are dropped and
# found later by anti-entropy.
BATCH_LIMIT: Final = 4096
# Seconds per live node for which state updates are batched. In a larger fleet
# more changes then share a message, and a neighbour's copy of an update comes
# before this node would send its own. No request waits for an update.
GATHER_SECONDS_PER_NODE: Final = 0.001


@dataclass(slots=True)
class Batch:
    """Hold what waits for one link; a newer update replaces an older one."""

    updates: dict[str, StateUpdate] = field(default_factory=dict)
    versions: dict[str, Version] = field(default_factory=dict)


@dataclass(slots=True)
class BatchQueue:
    """Hold batches that are sent together, `interval` seconds apart."""

    interval: float
    batches: dict[Address, Batch] = field(default_factory=dict)
    flushed: float = -inf

    def get_batch(self, peer: Address) -> Batch:
        """Return the batch for a peer."""
        return self.batches.setdefault(peer, Batch())

    def pop_due(self, now: float) -> dict[Address, Batch]:
        """Remove and return the batches if they are due."""
        if not self.batches or now - self.flushed < self.interval:
            return {}
        self.flushed = now
        due = self.batches
        self.batches = {}
        return due


class Outbox:
    """Collect effects until `pop_effects`."""

    def __init__(self, settings: FleetSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._effects: list[Effect] = []
        self._offers = BatchQueue(settings.flush_after)
        self._updates = BatchQueue(settings.flush_after)
        self._cross_domain = BatchQueue(settings.dear_flush_after)
        self._queues = (self._offers, self._updates, self._cross_domain)

    def set_node_count(self, nodes: int) -> None:
        """Set the batching interval of updates by the number of live nodes."""
        seconds = nodes * GATHER_SECONDS_PER_NODE
        self._updates.interval = max(self._settings.flush_after, seconds)

    def send(self, peer: Address, message: Message) -> None:
        """Send a message with the next effects, not batched."""
        self._effects.append(SendTo(peer, message))

    def dial(self, peer: Address) -> None:
        """Open a link."""
        self._effects.append(Dial(peer))

    def disconnect(self, peer: Address) -> None:
        """Close a link and drop its batches."""
        for queue in self._queues:
            queue.batches.pop(peer, None)
        self._effects.append(Disconnect(peer))

    def report(self, occurrence: Occurrence) -> None:
        """Record an event."""
        self._effects.append(Report(occurrence))

    def queue_update(
        self,
        peer: Address,
        update: StateUpdate,
        *,
        cross_domain: bool = False,
    ) -> None:
        """Add an update to the next batch of its kind of link."""
        queue = self._cross_domain if cross_domain else self._updates
        waiting = queue.get_batch(peer).updates
        if len(waiting) < BATCH_LIMIT:
            waiting[update.kind + update.name] = update

    def drop_known(self, peer: Address, known: StateUpdate) -> None:
        """Drop an update to a peer that has just sent the same or a newer one."""
        key = known.kind + known.name
        for queue in (self._updates, self._cross_domain):
            if peer not in queue.batches:
                continue
            batch = queue.batches[peer].updates
            if key in batch and batch[key].order <= known.order:
                batch.pop(key)

    def queue_offer(self, peer: Address, version: Version) -> None:
        """Announce an entry with the next batch."""
        waiting = self._offers.get_batch(peer).versions
        if len(waiting) < BATCH_LIMIT:
            waiting[version.key] = version

    def pop_effects(self, now: float) -> tuple[Effect, ...]:
        """Remove and return the effects, with the batches that are due."""
        for queue in self._queues:
            for peer, batch in queue.pop_due(now).items():
                self._flush(peer, batch)
        effects = tuple(self._effects)
        self._effects = []
        return effects

    def _flush(self, peer: Address, batch: Batch) -> None:
        limit = self._settings.page_limit
        for page in split_into_pages(tuple(batch.updates.values()), limit):
            self.send(peer, StateUpdates(page))
        if batch.versions:
            self.send(peer, Have(tuple(batch.versions.values())))
