"""Run a node's fleet state on its links and the event loop."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from expression import Result
from msgspec import Struct
from msgspec.structs import replace

from hillfield.clocks import monotonic
from hillfield.configuration.entries import Entry
from hillfield.detection.evidence import Evidence
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.effects import (
    Dial,
    Disconnect,
    Effect,
    Event,
    Refused,
    Report,
    SendTo,
    Ticked,
)
from hillfield.fleet.envelope import Codec, StampSource
from hillfield.fleet.evidence_view import NodeEvidence
from hillfield.fleet.replication.entry_index import EntryStore
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state import FleetState
from hillfield.link import LinkError, LinkLayer, LinkSettings
from hillfield.model import Address, Target
from hillfield.timers import ScheduledCall, get_shared_timer

# Seconds that the goodbyes of a stopping node have to be sent.
GOODBYE_DELAY: Final = 0.2


class FleetListeners(Struct, frozen=True):
    """Callbacks for changes; all are called on the event loop's thread."""

    targets_changed: Callable[[str, tuple[Target, ...]], None]
    evidence_changed: Callable[[NodeEvidence], None]
    entry_adopted: Callable[[Entry], None]


class EffectRunner:
    """Run effects on links and journal.

    `incarnation` is that of this node, sent with each message.
    """

    def __init__(
        self,
        links: LinkLayer,
        codec: Codec,
        journal: Journal,
    ) -> None:
        """Use these links and this journal."""
        self.incarnation = 0
        self._links = links
        self._codec = codec
        self._journal = journal

    @singledispatchmethod
    def run(self, effect: Effect) -> None:
        """Run one effect."""
        raise TypeError(type(effect).__name__)

    @run.register
    def _(self, effect: SendTo) -> None:
        sealed = self._codec.seal(effect.message, self.incarnation)
        self._links.send(effect.peer, sealed)

    @run.register
    def _(self, effect: Dial) -> None:
        self._links.dial(effect.peer)

    @run.register
    def _(self, effect: Disconnect) -> None:
        self._links.disconnect(effect.peer)

    @run.register
    def _(self, effect: Report) -> None:
        self._journal.record(effect.occurrence)


class Fleet:
    """One node's part in the fleet: its state, links and timer."""

    def __init__(
        self,
        settings: FleetSettings,
        store: EntryStore,
        listeners: FleetListeners,
        journal: Journal,
        clock: StampSource | None = None,
    ) -> None:
        """Create the state and the links, which `start` opens."""
        self.settings = settings
        self.state = FleetState(settings, store)
        self.links = LinkLayer(
            LinkSettings(
                settings.link,
                settings.queue_limit,
                settings.message_limit,
                settings.faults,
            ),
            self._receive,
        )
        self._store = store
        self._codec = Codec(settings, clock)
        self._listeners = listeners
        self._journal = journal
        self._runner = EffectRunner(self.links, self._codec, journal)
        self._ticking: ScheduledCall | None = None

    async def start(self) -> Result[Address, LinkError]:
        """Listen, start to discover peers and return the link address."""
        opened = self.links.open()
        match opened:
            case Result(tag='ok', ok=address):
                self.settings = replace(self.settings, link=address)
                self.state = FleetState(self.settings, self._store)
                self._ticking = get_shared_timer().every(
                    self.settings.tick,
                    self._tick,
                )
                self._tick()
            case Result(tag='error', error=failed):
                self._journal.record(
                    Occurrence(
                        EventCode.LINK_FAILED,
                        peer=failed.peer,
                        step=failed.step,
                        detail=failed.detail,
                    ),
                )
        return opened

    async def stop(self) -> None:
        """Send goodbyes to the neighbours and close all links."""
        if self._ticking is not None:
            self._ticking.cancel()
            self._run_effects(self.state.leave(monotonic()))
            await asyncio.sleep(GOODBYE_DELAY)
        self.links.close()

    def abandon(self) -> None:
        """Close all links without goodbyes, as a crash does."""
        if self._ticking is not None:
            self._ticking.cancel()
        self.links.close()

    def publish_targets(self, targets: tuple[Target, ...]) -> None:
        """Set the targets of this host."""
        self.state.publish_targets(monotonic(), targets)

    def publish_evidence(self, evidence: tuple[Evidence, ...]) -> None:
        """Set the evidence that this node publishes."""
        self.state.publish_evidence(monotonic(), evidence)

    def submit(self, entry: Entry) -> bool:
        """Adopt an entry that the store accepted and announce it."""
        return self.state.submit(entry)

    def handle_event(self, event: Event) -> None:
        """Apply an event to the state, run its effects and call listeners."""
        self._run_effects(self.state.handle_event(monotonic(), event))
        self._call_listeners()

    def _tick(self) -> None:
        self.handle_event(Ticked())

    def _receive(self, sealed: bytes) -> None:
        match self._codec.open(sealed):
            case Result(tag='ok', ok=received):
                self.handle_event(received)
            case Result(tag='error', error=reason):
                self.handle_event(Refused(reason))

    def _run_effects(self, effects: tuple[Effect, ...]) -> None:
        self._runner.incarnation = self.state.core.own.incarnation
        for effect in effects:
            self._runner.run(effect)

    def _call_listeners(self) -> None:
        core = self.state.core
        for service in core.view.pop_changed():
            self._listeners.targets_changed(
                service,
                core.view.targets_of(service),
            )
        for node in core.evidence_view.pop_changed():
            if node != self.settings.name:
                self._listeners.evidence_changed(
                    core.evidence_view.get_evidence(node)
                )
        for entry in core.entry_index.pop_adopted():
            self._listeners.entry_adopted(entry)
