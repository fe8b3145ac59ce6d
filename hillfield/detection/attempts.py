"""Attempts in flight, to detect a stall before it times out."""

from dataclasses import dataclass
from itertools import chain

from hillfield.detection.latencies import Limits
from hillfield.model import TargetId


@dataclass(slots=True)
class Attempt:
    """Hold an attempt that has no answer yet.

    `limits_passed` is how many latency limits it has passed. `aged_from` is
    the time from which its age counts: later than its start by the seconds
    in which this node read no answers.
    """

    target: TargetId
    started: float
    aged_from: float
    limits_passed: int = 0


class AttemptsInFlight:
    """Keep attempts in the order of their start.

    An attempt moves to the next stage when it passes a limit, so that it is
    checked a few times only, however long it hangs.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._fresh: dict[int, Attempt] = {}
        self._slow: dict[int, Attempt] = {}
        self._very_slow: dict[int, Attempt] = {}
        self._hung: dict[int, Attempt] = {}
        self._stages = (
            self._fresh,
            self._slow,
            self._very_slow,
            self._hung,
        )

    def start(self, now: float, target: TargetId, number: int) -> None:
        """Add an attempt."""
        self._fresh[number] = Attempt(target, now, now)

    def discount_pause(self, now: float, seconds: float) -> None:
        """Leave the last seconds out of the age of each attempt."""
        for attempt in chain.from_iterable(map(dict.values, self._stages)):
            attempt.aged_from = min(now, attempt.aged_from + seconds)

    def remove(self, number: int) -> Attempt | None:
        """Remove and return an attempt."""
        for attempts in self._stages:
            attempt = attempts.pop(number, None)
            if attempt is not None:
                return attempt
        return None

    def collect_overdue(self, now: float, limits: Limits) -> list[Attempt]:
        """Return the attempts that have just passed a limit."""
        passed: list[Attempt] = []
        before = now - limits.hung
        _move(self._very_slow, self._hung, before, passed)
        before = now - limits.very_slow
        _move(self._slow, self._very_slow, before, passed)
        before = now - limits.slow
        _move(self._fresh, self._slow, before, passed)
        return passed

    def __len__(self) -> int:
        """Return how many attempts wait for an answer."""
        return sum(len(attempts) for attempts in self._stages)


def _move(
    source: dict[int, Attempt],
    sink: dict[int, Attempt],
    aged_before: float,
    passed: list[Attempt],
) -> None:
    while source:
        number = next(iter(source))
        attempt = source[number]
        if attempt.aged_from >= aged_before:
            return
        attempt.limits_passed += 1
        sink[number] = source.pop(number)
        passed.append(attempt)
