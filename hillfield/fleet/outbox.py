"""What the state asks for, with small messages gathered into batches."""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from hillfield.events import Occurrence
from hillfield.fleet.effects import Dial, Effect, Disconnect, Report, SendTo
from hillfield.fleet.messages import (
    Have,
    Message,
    Statement,
    Statements,
    Version,
)
from hillfield.fleet.pages import split_into_pages
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address

BATCH_LIMIT: Final = 4096
# Seconds that statements are gathered for each live node: where more nodes
# may change, more changes share a message, and a neighbour's own copy comes
# before ours is sent. No choice of a target waits for a statement.
GATHER_SECONDS_PER_NODE: Final = 0.001


@dataclass(slots=True)
class Batch:
    """Hold what waits for one link; a newer statement replaces an older."""

    updates: dict[str, Statement] = field(default_factory=dict)
    versions: dict[str, Version] = field(default_factory=dict)


@dataclass(slots=True)
class BatchQueue:
    """Hold the batches that are sent together, `interval` seconds apart."""

    interval: float
    batches: dict[Address, Batch] = field(default_factory=dict)
    flushed: float = -inf

    def get_batch(self, peer: Address) -> Batch:
        """Return the batch that waits for a peer."""
        return self.batches.setdefault(peer, Batch())

    def pop_due(self, now: float) -> dict[Address, Batch]:
        """Return the batches if they are due."""
        if not self.batches or now - self.flushed < self.interval:
            return {}
        self.flushed = now
        due = self.batches
        self.batches = {}
        return due


class Outbox:
    """Gather effects until they are taken."""

    def __init__(self, settings: FleetSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._effects: list[Effect] = []
        self._prompt = BatchQueue(settings.flush_after)
        self._news = BatchQueue(settings.flush_after)
        self._dear = BatchQueue(settings.dear_flush_after)
        self._lanes = (self._prompt, self._news, self._dear)

    def set_node_count(self, nodes: int) -> None:
        """Gather statements for as long as so many live nodes ask for."""
        gathered = nodes * GATHER_SECONDS_PER_NODE
        self._news.interval = max(self._settings.flush_after, gathered)

    def send(self, peer: Address, message: Message) -> None:
        """Send a message now."""
        self._effects.append(SendTo(peer, message))

    def dial(self, peer: Address) -> None:
        """Open a link."""
        self._effects.append(Dial(peer))

    def disconnect(self, peer: Address) -> None:
        """Close a link and forget what waits for it."""
        for lane in self._lanes:
            lane.batches.pop(peer, None)
        self._effects.append(Disconnect(peer))

    def report(self, occurrence: Occurrence) -> None:
        """Record an event."""
        self._effects.append(Report(occurrence))

    def queue_update(
        self,
        peer: Address,
        statement: Statement,
        *,
        dear: bool = False,
    ) -> None:
        """Send a statement with the next batch; dear ones wait for more."""
        lane = self._dear if dear else self._news
        waiting = lane.get_batch(peer).updates
        if len(waiting) < BATCH_LIMIT:
            waiting[statement.kind + statement.name] = statement

    def drop_known(self, peer: Address, known: Statement) -> None:
        """Don't send a peer what it has just sent itself, or older."""
        key = known.kind + known.name
        for lane in (self._news, self._dear):
            if peer not in lane.batches:
                continue
            batch = lane.batches[peer].updates
            if key in batch and batch[key].order <= known.order:
                batch.pop(key)

    def queue_offer(self, peer: Address, version: Version) -> None:
        """Announce an entry with the next batch."""
        waiting = self._prompt.get_batch(peer).versions
        if len(waiting) < BATCH_LIMIT:
            waiting[version.key] = version

    def pop_effects(self, now: float) -> tuple[Effect, ...]:
        """Return the effects, with the batches when they are due."""
        for lane in self._lanes:
            for peer, batch in lane.pop_due(now).items():
                self._flush(peer, batch)
        effects = tuple(self._effects)
        self._effects = []
        return effects

    def _flush(self, peer: Address, batch: Batch) -> None:
        limit = self._settings.page_limit
        for page in split_into_pages(tuple(batch.updates.values()), limit):
            self.send(peer, Statements(page))
        if batch.versions:
            self.send(peer, Have(tuple(batch.versions.values())))
