"""This target's part of the fleet's bound on repeats; pure.

All arrivals at a target pass its gate, so the gates of a service see exactly the
repeats that the bound counts. Each keeps an equal part of the slack, and its own
requests' part of the ratio: the parts add up to the bound, without a message.
A repeat that one gate declines is tried at another.
"""

from collections import deque
from collections.abc import Mapping
from math import inf
from types import MappingProxyType
from typing import Final

from hillfield.loadreports.reports import ENOUGH_REPEATS
from hillfield.model import RepeatBound, RepeatKind

# Parts of a window in which arrivals are counted together.
SLOTS: Final = 40
# Seconds after which a lower number of targets counts: those behind a partition
# still send repeats.
FEWER_TARGETS_SECONDS: Final = 60.0
# Share of the part that each kind of repeat leaves to others. A retry follows a
# clear failure; of the hedges most turn out not to have been needed.
RESERVED: Final[Mapping[RepeatKind, float]] = MappingProxyType(
    {RepeatKind.RETRY: 0, RepeatKind.HEDGE: 0.25},
)
ONE_REPEAT: Final[float] = 1


class SlidingCount:
    """Count events of the last seconds.

    >>> arrivals = SlidingCount(seconds=10, slot=0.5)
    >>> arrivals.add(1.0)
    >>> arrivals.count(10.9), arrivals.count(11.5)
    (1, 0)
    """

    __slots__ = ('_events', '_seconds', '_slot', '_total')

    def __init__(self, seconds: float, slot: float) -> None:
        """Count nothing yet; events of one slot expire together."""
        self._seconds = seconds
        self._slot = slot
        self._events: deque[list[int]] = deque()
        self._total = 0

    def __len__(self) -> int:
        """Return the number of slots kept."""
        return len(self._events)

    def add(self, now: float) -> None:
        """Count an event."""
        number = int(now // self._slot)
        if self._events and self._events[-1][0] >= number:
            self._events[-1][1] += 1
        else:
            self._events.append([number, 1])
            self._drop_expired(now)
        self._total += 1

    def count(self, now: float) -> int:
        """Return how many events there were."""
        self._drop_expired(now)
        return self._total

    def _drop_expired(self, now: float) -> None:
        oldest = (now - self._seconds) // self._slot
        while self._events and self._events[0][0] <= oldest:
            self._total -= self._events.popleft()[1]


class RepeatPart:
    """Bound the repeats that one target gets.

    A gate that starts doesn't know what its host has spent before, so its part
    of the slack counts after a window.

    >>> part = RepeatPart(RepeatBound(ratio=0.2, slack=80, window=10))
    >>> part.adopt_targets(0, 10)
    >>> part.compute_left(5), part.compute_left(10)
    (0.0, 8.0)
    >>> for _ in range(7):
    ...     part.record(10, RepeatKind.RETRY)
    >>> part.admits(10, RepeatKind.RETRY), part.admits(10, RepeatKind.HEDGE)
    (True, False)
    """

    def __init__(self, bound: RepeatBound) -> None:
        """Start without arrivals; no other target is known yet."""
        self._bound = bound
        slot = bound.window / SLOTS
        self._requests = SlidingCount(bound.window - slot, slot)
        self._repeats = SlidingCount(bound.window, slot)
        self._targets = 0
        self._counted_at: float = 0
        self._complete_at = inf

    def adopt_targets(self, now: float, targets: int) -> None:
        """Set how many targets share the bound."""
        if not self._targets:
            self._complete_at = now + self._bound.window
        if targets >= self._targets:
            self._counted_at = now
        elif now - self._counted_at < FEWER_TARGETS_SECONDS:
            return
        self._targets = targets

    def record(self, now: float, repeat: RepeatKind | None) -> None:
        """Count an arrival at the target; None: the first of its request."""
        if repeat is not None:
            self._repeats.add(now)
        if repeat is None or repeat is RepeatKind.CALL:
            self._requests.add(now)

    def admits(self, now: float, repeat: RepeatKind) -> bool:
        """Return whether the part covers a repeat; calls can't be declined."""
        if repeat is RepeatKind.CALL or self._bound.slack == inf:
            return True
        reserved = RESERVED[repeat] * self._compute_slack()
        return self.compute_left(now) >= max(ONE_REPEAT, reserved)

    def compute_left(self, now: float) -> float:
        """Return how many repeats may be sent now; below 0: too many were."""
        if self._bound.slack == inf:
            return inf
        earned = self._bound.ratio * self._requests.count(now)
        slack = self._compute_slack() if now >= self._complete_at else 0
        return slack + earned - self._repeats.count(now)

    def compute_share(self, now: float) -> float:
        """Return what is left in parts of the slack, bounded."""
        slack = self._compute_slack()
        if slack == inf:
            return ENOUGH_REPEATS
        if not slack:
            return 0
        return min(ENOUGH_REPEATS, self.compute_left(now) / slack)

    def _compute_slack(self) -> float:
        if self._bound.slack == inf:
            return inf
        return self._bound.slack / self._targets if self._targets else 0
