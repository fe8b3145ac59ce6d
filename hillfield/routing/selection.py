"""Choice of the target for one attempt.

Two targets are drawn at random, weighted by share, and the one with the lower
expected cost is chosen (Mitzenmacher, "The power of two choices in randomized
load balancing", 2001). A choice takes as long with 30 targets as with 1,000.
"""

from random import Random
from typing import Final

from hillfield.detection.rotation import Candidate, Rotation
from hillfield.model import Locality, Target, TargetId, TargetState
from hillfield.routing.loads import FAILURE_FACTOR, Latency, TargetLoad, Tier
from hillfield.routing.pauses import Pauses

# Load from which a tier is no longer preferred to those farther away.
SPILL_LOAD: Final = 0.75
# Seconds for which a slot that this node has released counts as still free.
FREED_SECONDS: Final = 0.005
# Share of choices that take the first drawn target whatever its cost, so that
# the latency of costly targets is measured again.
EXPLORATION: Final = 0.05
TIERS: Final = 3


class Selector:
    """Choose targets by rotation, free slots, distance and expected cost."""

    def __init__(self, locality: Locality, random: Random) -> None:
        """Start without targets."""
        self.loads: dict[TargetId, TargetLoad] = {}
        self.latency = Latency()
        self.capacity = 0
        self._locality = locality
        self._random = random
        self._rotation: Rotation | None = None
        self._allowances: dict[TargetId, int] = {}
        self._tiers = tuple(Tier() for _ in range(TIERS))
        self.pauses = Pauses(random)
        self._freed: TargetLoad | None = None

    def adopt_allowances(self, allowances: dict[TargetId, int]) -> None:
        """Set how many connections this node may open to each target."""
        self._allowances = allowances
        self._rotation = None

    def adopt(self, rotation: Rotation) -> None:
        """Use this rotation; return at once if it is the present one."""
        if rotation is self._rotation:
            return
        self._rotation = rotation
        self._tiers = tuple(Tier() for _ in range(TIERS))
        kept = {
            identity: load
            for identity, load in self.loads.items()
            if load.in_flight or identity in self._allowances
        }
        for load in self.loads.values():
            load.leave_tier()
        self.loads = kept
        for candidate in rotation.candidates:
            self._add_candidate(candidate)
        self.capacity = sum(tier.capacity for tier in self._tiers)

    def has_other(self, excluded: tuple[TargetId, ...]) -> bool:
        """Return whether the rotation has a target that is not excluded."""
        return any(
            load.tier is not None and identity not in excluded
            for identity, load in self.loads.items()
        )

    def choose_freed(
        self,
        now: float,
        excluded: tuple[TargetId, ...] = (),
    ) -> Target | None:
        """Return the target that has just answered, if it still has a slot.

        If many nodes share targets that are full, the slot that this node
        released is the only one that it knows to be free.
        """
        load = self._freed
        self._freed = None
        if load is None or load.tier is None or not load.is_free():
            return None
        late = now - load.latency.updated > FREED_SECONDS
        if late or load.target.id in excluded:
            return None
        return load.target

    def choose(
        self,
        now: float,
        excluded: tuple[TargetId, ...] = (),
        *,
        near: bool = False,
    ) -> Target | None:
        """Return the target for an attempt, or None if none is free.

        `near` limits the choice to the own failure domain.
        """
        self.pauses.end(now)
        tiers = self._tiers[:1] if near else self._order_tiers()
        for tier in tiers:
            found = self._choose_within(now, tier, excluded)
            if found is not None:
                return found.target
        return None

    def record_sent(self, target: TargetId) -> None:
        """Count a request that was sent to the target."""
        load = self.loads[target]
        load.in_flight += 1
        if load.tier is not None:
            load.tier.busy += 1
            load.tier.update(load)

    def record_ended(
        self,
        now: float,
        target: TargetId,
        seconds: float | None,
        failed: bool,
    ) -> None:
        """Count a request as ended; `seconds` is None if not a measurement.

        A failure counts as several times the service's latency, so that a
        target that fails fast does not look quick.
        """
        load = self.loads.get(target)
        if load is None:
            return
        load.in_flight -= 1
        if seconds is not None and not failed:
            load.grow_window()
            load.consecutive_pauses = 0
        if load.tier is not None:
            load.tier.busy -= 1
            load.tier.update(load)
        if seconds is None:
            return
        if failed:
            seconds = max(seconds, FAILURE_FACTOR * self.latency.mean)
        else:
            self.latency.add_sample(now, seconds)
            self._freed = load
        load.latency.add_sample(now, seconds)

    def pause(self, now: float, target: TargetId) -> None:
        """Pause a target that shed or timed out, and shrink its window.

        The answer's Retry-After is meant for callers and not used here: its
        least value is 1 s, in which slots become free many times.
        """
        load = self.loads.get(target)
        if load is not None:
            self.pauses.begin(now, load, self.latency.mean)

    def _add_candidate(self, candidate: Candidate) -> None:
        target = candidate.target
        if target.state is TargetState.DRAINING:
            return
        load = self.loads.get(target.id)
        if load is None:
            load = TargetLoad(target)
            self.loads[target.id] = load
        allowance = self._allowances.get(target.id, target.slots)
        load.adopt(candidate, allowance)
        rank = _rank(self._locality, target.locality)
        load.near = not rank
        tier = self._tiers[rank]
        load.tier = tier
        tier.capacity += load.limit
        tier.busy += load.in_flight + load.reported_load
        if load.paused:
            tier.busy += load.limit
        tier.update(load)

    def _order_tiers(self) -> list[Tier]:
        tiers = [tier for tier in self._tiers if tier.free]
        for tier in tiers:
            if tier.load() < SPILL_LOAD:
                tiers.remove(tier)
                return [tier, *tiers]
        return sorted(tiers, key=Tier.load)

    def _choose_within(
        self,
        now: float,
        tier: Tier,
        excluded: tuple[TargetId, ...],
    ) -> TargetLoad | None:
        first = tier.pick(self._random, excluded)
        if first is None or self._random.random() < EXPLORATION:
            return first
        second = tier.pick(self._random, (*excluded, first.target.id))
        if second is None:
            return first
        if first.watched or second.watched:
            # Latency is ignored for a suspected target: without requests it
            # could be neither ejected nor cleared.
            return (
                second if second.utilization() < first.utilization() else first
            )
        mean = self.latency.mean
        better = second.expected_cost(now, mean) < first.expected_cost(
            now, mean
        )
        return second if better else first


def _rank(here: Locality, there: Locality) -> int:
    """Return 0 within a failure domain, 1 within a region, else 2."""
    if there.region != here.region:
        return 2
    return int(there.failure_domain != here.failure_domain)
