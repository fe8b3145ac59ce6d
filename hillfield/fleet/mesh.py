"""Simulated network between states in one process, for tests.

It does not depend on the protocol: states are plain objects, time is a number,
and each message passes through the codec as it would over a link.
"""

from dataclasses import dataclass
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.events import Occurrence
from hillfield.fleet.effects import Effect, Refused, Report, SendTo, Ticked
from hillfield.fleet.envelope import Codec
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state import FleetState
from hillfield.model import Address

TICK: Final = 0.1
# Deliveries in one step, as a multiple of the squared number of nodes, from
# which messages count as a storm that would not end.
STORM_FACTOR: Final = 60
QUEUE_LIMIT: Final = 256


class MemoryStore:
    """Store any entry, also an older one, which the caller must refuse."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}

    def adopt(self, entry: Entry) -> None:
        """Keep an entry."""
        self.entries[entry.key] = entry

    def wants(self, key: str, revision: int) -> bool:
        """Return True for any revision."""
        return bool(key) and revision > 0

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self.entries.get(key)


class InFlightMessage(Struct, frozen=True):
    """Hold a message that is not delivered yet."""

    sender: Address
    receiver: Address
    sealed: bytes


@dataclass(slots=True)
class NetworkFaults:
    """Hold the shares of messages that are lost, duplicated or delayed.

    A delayed one comes one or more ticks later. With `stepwise` a message
    takes a tick for each hop, as a batch may.
    """

    random: Random
    stepwise: bool = False
    loss: float = 0
    duplication: float = 0
    delay: float = 0
    shuffled: bool = False


class Mesh:
    """Hold states and the messages in flight between them."""

    def __init__(self, random: Random) -> None:
        """Create an empty network, at a time other than zero."""
        self.now = 1000.0
        self.states: dict[Address, FleetState] = {}
        self.occurrences: list[Occurrence] = []
        self.cut: set[tuple[Address, Address]] = set()
        self.paused: set[Address] = set()
        self.faults = NetworkFaults(random)
        self.in_flight: list[InFlightMessage] = []
        self.storms = 0
        self.delivered = 0
        self.delivered_bytes = 0

    def add(self, settings: FleetSettings) -> FleetState:
        """Add a node, or restart it if it exists."""
        state = FleetState(settings, MemoryStore())
        self.states[settings.link] = state
        self.paused.discard(settings.link)
        return state

    def restart(self, address: Address) -> FleetState:
        """Restart a node as a new incarnation with an empty state."""
        settings = self.states[address].core.settings
        return self.add(replace(settings, incarnation=int(self.now * 1000)))

    def remove(self, address: Address) -> None:
        """Remove a node without a goodbye."""
        self.states.pop(address)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK)):
            if self.storms:
                return
            self.now += TICK
            for address, state in tuple(self.states.items()):
                if address not in self.paused:
                    self.send_effects(
                        address, state.handle_event(self.now, Ticked())
                    )
            self._deliver()

    def send_effects(
        self, sender: Address, effects: tuple[Effect, ...]
    ) -> None:
        """Send the messages and record the events of a state's effects."""
        codec = Codec(self.states[sender].core.settings)
        own = self.states[sender].core.own
        for effect in effects:
            if isinstance(effect, Report):
                self.occurrences.append(effect.occurrence)
            if isinstance(effect, SendTo):
                sealed = codec.seal(effect.message, own.incarnation)
                self._enqueue(InFlightMessage(sender, effect.peer, sealed))

    def _enqueue(self, message: InFlightMessage) -> None:
        faults = self.faults
        if (message.sender, message.receiver) in self.cut:
            return
        if faults.random.random() < faults.loss:
            return
        self.in_flight.append(message)
        if faults.random.random() < faults.duplication:
            self.in_flight.append(message)

    def _deliver(self) -> None:
        """Deliver all messages, and their answers too unless stepwise."""
        waiting: list[InFlightMessage] = []
        limit = len(self.states) ** 2 * STORM_FACTOR
        if self.faults.stepwise:
            limit = len(self.in_flight)
        for _ in range(limit):
            if not self.in_flight:
                break
            message = self.in_flight.pop(self._next_index())
            if self._is_delayed(message):
                waiting.append(message)
            elif message.receiver in self.states:
                self._deliver_message(message)
        waiting.extend(self._take_remaining())
        self.in_flight = waiting[-QUEUE_LIMIT * len(self.states) :]

    def _take_remaining(self) -> list[InFlightMessage]:
        """Return messages left for the next step; unless stepwise, a storm."""
        if self.faults.stepwise:
            return self.in_flight
        self.storms += bool(self.in_flight)
        return []

    def _is_delayed(self, message: InFlightMessage) -> bool:
        if message.receiver in self.paused:
            return True
        faults = self.faults
        return bool(faults.delay) and faults.random.random() < faults.delay

    def _next_index(self) -> int:
        if self.faults.shuffled:
            return self.faults.random.randrange(len(self.in_flight))
        return 0

    def _deliver_message(self, message: InFlightMessage) -> None:
        state = self.states[message.receiver]
        self.delivered += 1
        self.delivered_bytes += len(message.sealed)
        opened = Codec(state.core.settings).open(message.sealed)
        event = opened.ok if opened.is_ok() else Refused(opened.error)
        self.send_effects(message.receiver, state.handle_event(self.now, event))
