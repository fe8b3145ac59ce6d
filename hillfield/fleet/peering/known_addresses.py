"""Addresses at which peers may listen, dialled with growing pauses."""

from math import inf
from typing import Final

from msgspec import Struct

from hillfield.fleet.replication.summary import hash_text
from hillfield.fleet.settings import FleetSettings
from hillfield.model import Address

GROWTH: Final = 2
# Seconds for which an address that is not a seed is remembered.
ADDRESS_LIFETIME: Final = 7200.0
# Addresses dialled at a time by a node without a reachable peer.
ISOLATED_DIALS: Final = 3
SPREAD_STEPS: Final = 128
FAILURES_LIMIT: Final = 16


class KnownAddress(Struct, frozen=True):
    """Hold when an address was last dialled, and its failures since."""

    last_tried: float
    failures: int
    expires: float


class KnownAddresses:
    """Remember a bounded number of addresses.

    After the loss of a region each node keeps a different subset of that
    region's addresses, so that together they keep all of them.
    """

    def __init__(self, settings: FleetSettings) -> None:
        """Add the seeds of the settings, which are never forgotten."""
        self._settings = settings
        self._known = {
            seed: KnownAddress(-inf, 0, inf)
            for seed in settings.seeds
            if seed != settings.link
        }

    def __len__(self) -> int:
        """Return how many addresses are remembered."""
        return len(self._known)

    def add(self, now: float, address: Address) -> None:
        """Remember an address."""
        if address == self._settings.link or address in self._known:
            return
        self._known[address] = KnownAddress(-inf, 0, now + ADDRESS_LIFETIME)
        if len(self._known) > self._settings.addresses_kept:
            self._known.pop(min(self._known, key=self._rank))

    def forget(self, address: Address) -> None:
        """Forget an address whose node is a member again."""
        known = self._known.get(address)
        if known and known.expires != inf:
            self._known.pop(address)

    def select_due(self, now: float, alone: bool) -> tuple[Address, ...]:
        """Return the addresses to dial now and schedule their next attempt."""
        self._expire(now)
        ready = sorted(
            (known.last_tried, address)
            for address, known in self._known.items()
            if now - known.last_tried >= self._compute_pause(address, alone)
        )
        chosen = ready[: ISOLATED_DIALS if alone else 1]
        for _, dialled in chosen:
            self._postpone(now, dialled)
        return tuple(address for _, address in chosen)

    def _compute_pause(self, address: Address, alone: bool) -> float:
        """Return the seconds between two attempts at an address.

        A node without a reachable peer tries more often: few nodes are
        isolated at a time, and such a node can do nothing else.
        """
        settings = self._settings
        growth = float(GROWTH ** self._known[address].failures)
        limit = settings.redial_alone if alone else settings.redial_limit
        spread = 1 + self._compute_spread(address)
        return min(settings.redial_after * growth, limit) * spread

    def _postpone(self, now: float, address: Address) -> None:
        known = self._known[address]
        failures = min(known.failures + 1, FAILURES_LIMIT)
        self._known[address] = KnownAddress(now, failures, known.expires)

    def _expire(self, now: float) -> None:
        for address, known in tuple(self._known.items()):
            if known.expires <= now:
                self._known.pop(address)

    def _rank(self, address: Address) -> float:
        if address in self._settings.seeds:
            return inf
        return self._hash(address)

    def _compute_spread(self, address: Address) -> float:
        return self._hash(address) % SPREAD_STEPS / SPREAD_STEPS

    def _hash(self, address: Address) -> int:
        name = self._settings.name
        return hash_text(f'{name}>{address}')
