"""Experiment `decisions`: what deciding on one request costs."""

from math import log2
from typing import Final

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Check, Condition, Report, Table
from hillfield.routing.measurement import SIZES, measure_choice

WANTED: Final = 30.0
DIGITS: Final = 1
COLUMNS: Final = ('targets', 'microseconds per request')


def measure(options: Options) -> Report:
    """Time admission, choice, note of writing, end and poll of a request."""
    costs = {size: round(measure_choice(size), DIGITS) for size in SIZES}
    least, most = min(SIZES), max(SIZES)
    growth = costs[most] / costs[least]
    allowed = log2(most) / log2(least)
    return Report(
        'decisions',
        conditions=(
            Condition('one request', 'admitted, written, answered, polled for'),
            Condition('clock', 'processor time of one thread, median of 5'),
        ),
        tables=(Table('cost', COLUMNS, tuple(costs.items())),),
        checks=(
            Check(
                f'at most {WANTED} microseconds at {least} targets',
                costs[least] <= WANTED,
                f'{costs[least]}',
            ),
            Check(
                'grows no faster than the logarithm of the targets',
                growth <= allowed,
                f'{growth:.2f} times, allowed {allowed:.2f}',
            ),
        ),
    )
