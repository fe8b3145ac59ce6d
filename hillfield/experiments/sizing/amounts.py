"""Lines of the capacity page's tables."""

from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from hillfield.experiments.report_texts import show_cell

COLUMNS: Final = ('part', 'amount', 'unit', 'worked out from', 'remeasured by')


class Amount(Struct, frozen=True):
    """Hold one amount; `basis` says how it follows from what was measured.

    `experiment` remeasures it; empty for sums.
    """

    part: str
    amount: float
    unit: str
    basis: str
    experiment: str = ''

    def as_row(self) -> tuple[str, ...]:
        """Return the row of a table with `COLUMNS`."""
        command = f'`hillfield experiment {self.experiment}`'
        return (
            self.part,
            show_cell(float(self.amount)),
            self.unit,
            self.basis,
            command if self.experiment else '',
        )


class Budget(Struct, frozen=True):
    """Hold the amounts of one resource; `bound` is for the sum of some."""

    title: str
    amounts: tuple[Amount, ...]
    bounded: tuple[Amount, ...] = ()
    bound: float = 0

    @property
    def held(self) -> bool:
        """Tell whether each bounded each is within the bound."""
        return all(each.amount <= self.bound for each in self.bounded)


def total(amounts: Iterable[Amount]) -> float:
    """Return the sum of amounts."""
    return sum(each.amount for each in amounts)


def sum_up(name: str, amounts: tuple[Amount, ...]) -> Amount:
    """Return an each that sums up others of the same unit."""
    return Amount(name, total(amounts), amounts[0].unit, 'sum of the above')
