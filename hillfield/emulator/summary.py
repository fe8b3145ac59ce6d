"""Sums over recorded calls, for people."""

from collections import Counter
from typing import Final

from msgspec import Struct

from hillfield.emulator.records import Call, Ending

MILLISECONDS: Final = 1000
WIDTH: Final = 18
HALF: Final = 0.5
NEARLY_ALL: Final = 0.99


class CallSummary(Struct, frozen=True):
    """Sum up calls; latencies of answered ones in milliseconds."""

    endings: tuple[tuple[Ending, int], ...]
    foreign: int
    p50: float
    p99: float

    def show(self) -> str:
        """Return a few lines of text."""
        counts = [
            ' '.join((name.ljust(WIDTH), str(count)))
            for name, count in self.endings
        ]
        return '\n'.join(
            (
                *counts,
                f'latency p50         {self.p50:.1f} ms',
                f'latency p99         {self.p99:.1f} ms',
                f'foreign or partial  {self.foreign}',
            )
        )


def sum_up(calls: tuple[Call, ...]) -> CallSummary:
    """Count endings and rank the latencies of answered calls."""
    answered = [call for call in calls if call.ending is Ending.ANSWERED]
    seconds = [call.finished - call.started for call in answered]
    counts = Counter(call.ending for call in calls)
    whole = sum(call.whole and call.own for call in answered)
    return CallSummary(
        tuple(sorted(counts.items())),
        len(answered) - whole,
        find_quantile(seconds, HALF) * MILLISECONDS,
        find_quantile(seconds, NEARLY_ALL) * MILLISECONDS,
    )


def find_quantile(numbers: list[float], share: float) -> float:
    """Return the smallest number that `share` of them don't exceed.

    >>> find_quantile([3, 1, 2], 0.5), find_quantile([], 0.5)
    (2, 0)
    """
    if not numbers:
        return 0
    position = int(share * len(numbers))
    return sorted(numbers)[min(position, len(numbers) - 1)]
