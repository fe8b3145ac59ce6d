"""Carry sealed messages between states in one process, for tests of them.

It knows nothing of the protocol: states are plain objects, time is a number,
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
STORM_FACTOR: Final = 60
QUEUE_LIMIT: Final = 256


class MemoryStore:
    """Keep what it is given: the guard against older entries isn't here."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}

    def adopt(self, entry: Entry) -> None:
        """Keep an entry."""
        self.entries[entry.key] = entry

    def wants(self, key: str, revision: int) -> bool:
        """Want all."""
        return bool(key) and revision > 0

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        return self.entries.get(key)


class InFlightMessage(Struct, frozen=True):
    """Hold a message on its way."""

    sender: Address
    receiver: Address
    sealed: bytes


@dataclass(slots=True)
class NetworkFaults:
    """Say what happens to messages: which share is lost, doubled or late.

    A late one comes a tick later, or more. With `stepwise` a message takes a
    tick for each hop, as a batch may.
    """

    random: Random
    stepwise: bool = False
    loss: float = 0
    duplication: float = 0
    delay: float = 0
    shuffled: bool = False


class Mesh:
    """Hold states and what is on its way between them."""

    def __init__(self, random: Random) -> None:
        """Start empty, at a time that isn't zero."""
        self.now = 1000.0
        self.states: dict[Address, FleetState] = {}
        self.occurrences: list[Occurrence] = []
        self.cut: set[tuple[Address, Address]] = set()
        self.paused: set[Address] = set()
        self.faults = NetworkFaults(random)
        self.in_flight: list[InFlightMessage] = []
        self.storms = 0
        self.delivered = 0
        self.carried_bytes = 0

    def add(self, settings: FleetSettings) -> FleetState:
        """Add a node, or start it again when it was there before."""
        state = FleetState(settings, MemoryStore())
        self.states[settings.link] = state
        self.paused.discard(settings.link)
        return state

    def restart(self, address: Address) -> FleetState:
        """Start a node again, as a new life with nothing in memory."""
        settings = self.states[address].core.settings
        return self.add(replace(settings, incarnation=int(self.now * 1000)))

    def remove(self, address: Address) -> None:
        """Take a node away without a word."""
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
        """Send off what a state asks for."""
        codec = Codec(self.states[sender].core.settings)
        own = self.states[sender].core.own
        for effect in effects:
            if isinstance(effect, Report):
                self.occurrences.append(effect.occurrence)
            if isinstance(effect, SendTo):
                sealed = codec.seal(effect.message, own.incarnation)
                self._put(InFlightMessage(sender, effect.peer, sealed))

    def _put(self, letter: InFlightMessage) -> None:
        weather = self.faults
        if (letter.sender, letter.receiver) in self.cut:
            return
        if weather.random.random() < weather.loss:
            return
        self.in_flight.append(letter)
        if weather.random.random() < weather.duplication:
            self.in_flight.append(letter)

    def _deliver(self) -> None:
        """Deliver all, and what that calls forth unless it is stepwise."""
        waiting: list[InFlightMessage] = []
        limit = len(self.states) ** 2 * STORM_FACTOR
        if self.faults.stepwise:
            limit = len(self.in_flight)
        for _ in range(limit):
            if not self.in_flight:
                break
            letter = self.in_flight.pop(self._next_index())
            if self._is_held(letter):
                waiting.append(letter)
            elif letter.receiver in self.states:
                self._hand_over(letter)
        waiting.extend(self._take_left())
        self.in_flight = waiting[-QUEUE_LIMIT * len(self.states) :]

    def _take_left(self) -> list[InFlightMessage]:
        """Return what is for the next step; without steps it is a storm."""
        if self.faults.stepwise:
            return self.in_flight
        self.storms += bool(self.in_flight)
        return []

    def _is_held(self, letter: InFlightMessage) -> bool:
        if letter.receiver in self.paused:
            return True
        weather = self.faults
        return bool(weather.delay) and weather.random.random() < weather.delay

    def _next_index(self) -> int:
        if self.faults.shuffled:
            return self.faults.random.randrange(len(self.in_flight))
        return 0

    def _hand_over(self, letter: InFlightMessage) -> None:
        state = self.states[letter.receiver]
        self.delivered += 1
        self.carried_bytes += len(letter.sealed)
        opened = Codec(state.core.settings).open(letter.sealed)
        event = opened.ok if opened.is_ok() else Refused(opened.error)
        self.send_effects(letter.receiver, state.handle_event(self.now, event))
