"""Load and latency of each target as measured by this node."""

from dataclasses import dataclass, field
from math import ceil, exp
from random import Random
from typing import Final

from hillfield.detection.rotation import Candidate
from hillfield.model import Target, TargetId

LATENCY_GAIN: Final = 0.2
DEVIATIONS: Final = 2.0
# Seconds in which the weight of a target's latency falls to 1/e.
LATENCY_MEMORY: Final = 10.0
# Weight of the load that a target reports itself.
REPORTED_LOAD_WEIGHT: Final = 0.5
# Latency that a failure counts as, in mean latencies of the service.
FAILURE_FACTOR: Final = 3.0
# Bound of a target's latency relative to the service's, either way.
LARGEST_FACTOR: Final = 8.0
# Growth of a window for each answer, divided by the window.
WINDOW_GROWTH: Final = 0.1
LARGEST_WINDOW: Final = 1000.0
# Draws after which a target is taken whatever its share.
SHARE_DRAWS: Final = 4


@dataclass(slots=True)
class Latency:
    """Exponentially weighted average of latency, in seconds."""

    mean: float = 0
    deviation: float = 0
    updated: float = 0

    def add_sample(self, now: float, seconds: float) -> None:
        """Add a measured latency."""
        if self.mean:
            difference = seconds - self.mean
            self.mean += LATENCY_GAIN * difference
            surplus = abs(difference) - self.deviation
            self.deviation += LATENCY_GAIN * surplus
        else:
            self.mean = seconds
        self.updated = now

    def bound(self) -> float:
        """Return a bound that few latencies exceed (as TCP's timeouts do)."""
        return self.mean + DEVIATIONS * self.deviation

    def factor(self, now: float, service: float) -> float:
        """Return latency relative to the service's; it decays to 1 with age."""
        if not self.mean or not service:
            return 1
        fade = exp((self.updated - now) / LATENCY_MEMORY)
        ratio = 1 + (self.mean / service - 1) * fade
        return min(LARGEST_FACTOR, max(1 / LARGEST_FACTOR, ratio))


@dataclass(slots=True, eq=False)
class TargetLoad:
    """Hold one target's requests in flight from this node and its latency.

    `watched` is a suspected target that needs requests to be decided on,
    `near` says that it is in this failure domain. `limit` bounds the requests
    in flight, `window` is a second bound that follows overload (additive
    increase, multiplicative decrease). `reported_load` is the target's own
    report in slots, `consecutive_pauses` counts pauses in a row, `position` is
    its index among the free targets of its tier.
    """

    target: Target
    share: float = 0
    watched: bool = False
    near: bool = True
    limit: int = 1
    window: float = LARGEST_WINDOW
    reported_load: float = 0
    in_flight: int = 0
    latency: Latency = field(default_factory=Latency)
    paused: bool = False
    consecutive_pauses: int = 0
    position: int = -1
    tier: 'Tier | None' = None

    def adopt(self, candidate: Candidate, allowance: int) -> None:
        """Use the target's announcement and its share of requests."""
        target = candidate.target
        self.target = target
        self.share = candidate.share
        self.watched = candidate.keeps_share
        slots = max(1, ceil(target.slots * self.share))
        self.limit = max(1, min(slots, allowance))
        self.reported_load = (
            REPORTED_LOAD_WEIGHT * (target.load or 0) * self.limit
        )

    def leave_tier(self) -> None:
        """Remove the target from its tier."""
        self.tier = None
        self.position = -1

    def is_free(self) -> bool:
        """Return whether this node may send the target one more request."""
        slots = min(self.limit, self.window)
        return self.in_flight < slots and not self.paused

    def shrink_window(self) -> None:
        """Halve the window after an overload."""
        self.window = max(1, min(self.limit, self.window) / 2)

    def grow_window(self) -> None:
        """Grow the window by one in about ten windows of answers."""
        wider = self.window + WINDOW_GROWTH / self.window
        self.window = min(LARGEST_WINDOW, wider)

    def expected_cost(self, now: float, service: float) -> float:
        """Return the expected cost of one more request; lower is better."""
        return self.utilization() * self.latency.factor(now, service)

    def utilization(self) -> float:
        """Return the share of slots in use after one more request."""
        foreign = max(0, self.reported_load - self.in_flight)
        return (self.in_flight + foreign + 1) / self.limit


class Tier:
    """Hold the targets at one distance: same domain, same region or other."""

    __slots__ = ('busy', 'capacity', 'free')

    def __init__(self) -> None:
        """Create an empty tier."""
        self.free: list[TargetLoad] = []
        self.capacity = 0
        self.busy: float = 0

    def load(self) -> float:
        """Return the share of busy slots as far as this node knows."""
        return self.busy / self.capacity if self.capacity else 1

    def update(self, load: TargetLoad) -> None:
        """Add the target to the free ones or remove it, by its state."""
        if load.is_free() == (load.position >= 0):
            return
        if load.position < 0:
            load.position = len(self.free)
            self.free.append(load)
            return
        last = self.free.pop()
        if last is not load:
            self.free[load.position] = last
            last.position = load.position
        load.position = -1

    def pick(
        self,
        random: Random,
        excluded: tuple[TargetId, ...],
    ) -> TargetLoad | None:
        """Draw a free target at random, weighted by share, in constant time."""
        found = None
        for _ in range(SHARE_DRAWS):
            found = self._pick_any(random, excluded)
            if found is None or random.random() < found.share:
                return found
        return found

    def _pick_any(
        self,
        random: Random,
        excluded: tuple[TargetId, ...],
    ) -> TargetLoad | None:
        count = len(self.free)
        if not count:
            return None
        start = int(random.random() * count)
        for step in range(min(count, len(excluded) + 1)):
            found = self.free[(start + step) % count]
            if found.target.id not in excluded:
                return found
        return None
