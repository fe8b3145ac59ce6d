"""Sum up what nodes asked of the store during some seconds."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from hillfield.emulator.store_calls import CallTotal
from hillfield.emulator.store_control import Measurement
from hillfield.experiments.sizing.rigs import OPERATOR
from hillfield.store.counters import CallKind

WRITES: Final = frozenset(
    (CallKind.SWAP, CallKind.GRANT, CallKind.RENEW, CallKind.REVOKE),
)
COLUMNS: Final = (
    'occasion',
    'reads/s',
    'writes/s',
    'most reads in 1 s',
    'most writes in 1 s',
    'watches',
)


class Occasion(Struct, frozen=True):
    """Hold calls of all nodes: a second in the mean, the most in a second.

    Opening a watch counts as a read; `watches` wait at the end.
    """

    name: str
    reads: float
    writes: float
    most_reads: int
    most_writes: int
    watches: int

    def as_row(self) -> tuple[str | float, ...]:
        """Return the row of a table with `COLUMNS`."""
        means = (self.reads, self.writes)
        return (
            self.name,
            *means,
            self.most_reads,
            self.most_writes,
            self.watches,
        )


def sum_up(
    name: str,
    before: tuple[CallTotal, ...],
    after: Measurement,
) -> Occasion:
    """Sum up the calls since `before`, without the operator's."""
    rest = _count(after.totals) - _count(before)
    seconds = {second for second, _ in rest}
    first = min(seconds, default=0)
    span = max(seconds, default=0) - first + 1
    reads = [rest[second, False] for second in seconds]
    writes = [rest[second, True] for second in seconds]
    return Occasion(
        name,
        sum(reads) / span,
        sum(writes) / span,
        max(reads, default=0),
        max(writes, default=0),
        sum(after.watches.values()),
    )


def _count(totals: Iterable[CallTotal]) -> Counter[tuple[int, bool]]:
    counted: Counter[tuple[int, bool]] = Counter()
    for total in totals:
        if total.client != OPERATOR:
            counted[total.second, total.kind in WRITES] += total.calls
    return counted
