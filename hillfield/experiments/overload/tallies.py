"""Figures of one run at one load."""

from collections.abc import Iterable

from msgspec import Struct

from hillfield.experiments.overload.plans import (
    Ending,
    LoadPlan,
    LoadResult,
    Told,
)
from hillfield.experiments.overload.shares import find_percentile

MILLISECONDS = 1000
# An answer within this much of the deadline came in time.
GRACE = 0.05


class Tally(Struct, frozen=True):
    """Hold what came of one load after its warm-up."""

    plan: LoadPlan
    seen: LoadResult
    capacity: float
    deadline: float

    def goodput(self, *, idempotent: bool | None = None) -> float:
        """Return answers in time a second, relative to the capacity."""
        counted = self.counted()
        if idempotent is not None:
            counted = _select(counted, idempotent)
        good = sum(map(self._is_good, counted))
        seconds = self.plan.seconds - self.plan.warm_up
        return good / seconds / self.capacity

    def answered(self, *, greedy: bool) -> float:
        """Return the share of an account's requests that was answered."""
        own = [
            self._is_good(ending)
            for ending in self.counted()
            if ending.greedy is greedy
        ]
        return sum(own) / max(1, len(own))

    def count(self, told: Told) -> int:
        """Return how many callers were told so."""
        return sum(ending.told is told for ending in self.counted())

    def refusal_times(self) -> list[float]:
        """Return the milliseconds of refusals."""
        return [
            ending.seconds * MILLISECONDS
            for ending in self.counted()
            if ending.told in {Told.NOT_RUN, Told.NO_HINT}
        ]

    def latency(self) -> float:
        """Return the milliseconds of answers at p99."""
        return MILLISECONDS * find_percentile(
            [
                ending.seconds
                for ending in self.counted()
                if ending.told is Told.ANSWERED
            ],
        )

    def health(self) -> float:
        """Return the milliseconds of health answers at p99."""
        return MILLISECONDS * find_percentile(self.seen.health)

    def lateness(self) -> float:
        """Return the milliseconds by which the load came late, at p99."""
        return MILLISECONDS * self.seen.lateness

    def counted(self) -> Iterable[Ending]:
        """Yield what was sent after the warm-up."""
        return (
            ending
            for ending in self.seen.endings
            if ending.sent >= self.plan.warm_up
        )

    def _is_good(self, ending: Ending) -> bool:
        if ending.told is not Told.ANSWERED:
            return False
        return ending.seconds <= self.deadline + GRACE


def _select(endings: Iterable[Ending], idempotent: bool) -> list[Ending]:
    return [each for each in endings if each.idempotent is idempotent]
