"""Measured seconds and their percentiles."""

from math import ceil
from typing import Final

from msgspec import Struct

MIDDLE: Final = 0.5
HIGH: Final = 0.99
COLUMNS: Final = ('count', 'p50 s', 'p99 s', 'max s')


class Series(Struct, frozen=True):
    """Hold measured seconds of one kind; at least one."""

    name: str
    seconds: tuple[float, ...]

    @property
    def middle(self) -> float:
        """Return the median."""
        return self.find(MIDDLE)

    @property
    def high(self) -> float:
        """Return the 99th percentile."""
        return self.find(HIGH)

    def find(self, share: float) -> float:
        """Return a percentile by the nearest rank.

        >>> Series('example', (3, 1, 2)).find(0.5)
        2
        """
        rank = ceil(share * len(self.seconds))
        return sorted(self.seconds)[max(rank, 1) - 1]

    def as_row(self) -> tuple[str | float, ...]:
        """Return the row of a table with `COLUMNS`, after the name."""
        count = len(self.seconds)
        worst = max(self.seconds)
        return (self.name, count, self.middle, self.high, worst)
