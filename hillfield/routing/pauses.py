"""Short pauses of targets that have shed requests."""

from heapq import heapify, heappop, heappush
from random import Random
from typing import Final

from hillfield.routing.loads import TargetLoad

# Bounds of a pause in seconds, before jitter.
FIRST_PAUSE: Final = 0.005
LONGEST_PAUSE: Final = 0.25
# Pauses in a row after which they double no further.
PAUSES_COUNTED: Final = 8


class Pauses:
    """Begin and end pauses; they double with each shed in a row.

    Many nodes share a target, so its slots can be full while this node has
    nothing in flight there. Only the shed answer shows that reliably.
    """

    def __init__(self, random: Random) -> None:
        """Start without pauses."""
        self._random = random
        self._ends: list[tuple[float, int, TargetLoad]] = []
        self._count = 0

    def begin(self, now: float, load: TargetLoad, base: float) -> None:
        """Pause a target for about `base` seconds, or longer in a row."""
        if load.paused:
            return
        load.shrink_window()
        seconds = max(FIRST_PAUSE, base) * 2**load.consecutive_pauses
        load.consecutive_pauses = min(
            load.consecutive_pauses + 1, PAUSES_COUNTED
        )
        # Jitter keeps nodes that were refused together from retrying together.
        jitter = (1 + self._random.random()) / 2
        load.paused = True
        self._count += 1
        end = now + min(LONGEST_PAUSE, seconds) * jitter
        heappush(self._ends, (end, self._count, load))
        if load.tier is not None:
            load.tier.busy += load.limit
            load.tier.update(load)

    def cancel(self, load: TargetLoad) -> None:
        """End a target's pause now and reset the length of the next one."""
        load.consecutive_pauses = 0
        kept = [entry for entry in self._ends if entry[2] is not load]
        if len(kept) < len(self._ends):
            self._ends = kept
            heapify(kept)
            _end(load)

    def next_end(self) -> float | None:
        """Return when the next pause ends; None if there is none."""
        return self._ends[0][0] if self._ends else None

    def end(self, now: float) -> None:
        """End the pauses that have expired."""
        while self._ends and self._ends[0][0] <= now:
            _end(heappop(self._ends)[2])


def _end(load: TargetLoad) -> None:
    load.paused = False
    if load.tier is not None:
        load.tier.busy -= load.limit
        load.tier.update(load)
