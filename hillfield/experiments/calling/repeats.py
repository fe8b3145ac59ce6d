"""The bound on repeats over the fleet, counted as its users do."""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from typing import Final

from msgspec import Struct

from hillfield.model import RepeatBound

FIRST_MOMENT: Final[float] = 0


class TargetArrival(Struct, frozen=True, order=True):
    """Hold when a target got a request, and whether that was a repeat.

    Calls of a run that was itself a repeat are repeats.
    """

    moment: float
    name: str
    service: str
    is_repeat: bool


class RepeatWindow(Struct, frozen=True):
    """Count the repeats of one service in a window, and those allowed."""

    start: float
    repeats: int
    allowed: float

    @property
    def excess(self) -> float:
        """Return by how many repeats the bound is passed; below 0: it holds."""
        return self.repeats - self.allowed


def find_fullest(
    asked: Mapping[str, Sequence[float]],
    arrivals: Sequence[TargetArrival],
    bound: RepeatBound,
) -> dict[str, RepeatWindow]:
    """Return for each service the window with the largest excess.

    `asked` holds, by service, when requests for it began; it and `arrivals` are
    in order.
    """
    return {
        service: _find_fullest(
            moments,
            [
                arrival.moment
                for arrival in arrivals
                if arrival.is_repeat and arrival.service == service
            ],
            bound,
        )
        for service, moments in asked.items()
    }


def _find_fullest(
    asked: Sequence[float],
    repeats: Sequence[float],
    bound: RepeatBound,
) -> RepeatWindow:
    windows = (
        _count(asked, repeats, bound, start)
        for start in (*repeats, FIRST_MOMENT)
    )
    return max(windows, key=lambda window: window.excess)


def _count(
    asked: Sequence[float],
    repeats: Sequence[float],
    bound: RepeatBound,
    start: float,
) -> RepeatWindow:
    before = (0, bound.window / 2, bound.window)
    requests = max(
        _count_between(asked, start - earlier, bound.window)
        for earlier in before
    )
    return RepeatWindow(
        start,
        _count_between(repeats, start, bound.window),
        bound.ratio * requests + bound.slack,
    )


def _count_between(
    moments: Sequence[float], start: float, seconds: float
) -> int:
    end = bisect_left(moments, start + seconds)
    return end - bisect_left(moments, start)
