"""Faults of fields, and the ranges of numbers."""

from collections.abc import Iterator
from typing import Final

from msgspec import Struct

from hillfield.configuration.schema.problems import ConfigurationProblem

_LEAST: Final = 0.001
_HOUR: Final = 3600
_DAY: Final = 86400
_LEAST_COST: Final = 0.01
_MOST_COST: Final = 100
_MOST_QUEUED: Final = 100000
_MOST_A_SECOND: Final = 1000000


class Range(Struct, frozen=True):
    """Bound a number, ends included."""

    field: str
    minimum: float
    maximum: float


class Fault(Struct, frozen=True):
    """Say what is wrong with a field, before its place is known."""

    field: str
    found: object
    fix: str

    def locate(self, place: str, within: str) -> ConfigurationProblem:
        """Return the problem at its place."""
        return ConfigurationProblem(
            place,
            f'{within}.{self.field}',
            repr(self.found),
            self.fix,
        )


PARAMETER_RANGES: Final = (
    Range('deadline', _LEAST, _DAY),
    Range('attempts', 1, 10),
    Range('hedge_after', _LEAST, _DAY),
)
RANGES: Final = (
    *PARAMETER_RANGES,
    Range('floor', 0, 1),
    Range('late_detection_cost', _LEAST_COST, _MOST_COST),
    Range('retry_budget', 0, 1),
    Range('hedge_budget', 0, 1),
    Range('queue_limit', 0, _MOST_QUEUED),
    Range('slow_start', 0, _HOUR),
    Range('account_share', _LEAST, 1),
    Range('account_rate', _LEAST, _MOST_A_SECOND),
)


def check_ranges(
    owner: object,
    ranges: tuple[Range, ...],
    where: str,
) -> Iterator[Fault]:
    """Yield the numbers of a value that are out of range."""
    for limit in ranges:
        number = getattr(owner, limit.field, None)
        if number is None:
            continue
        # Written so that nan fails too.
        if not limit.minimum <= number <= limit.maximum:
            yield Fault(
                f'{where}{limit.field}',
                number,
                f'write {limit.minimum} to {limit.maximum}',
            )
