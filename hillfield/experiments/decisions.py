"""Experiments `overload` and `retries`, against the baseline."""

from collections.abc import Iterable
from itertools import product
from typing import Final

from msgspec.structs import replace

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Check, Condition, Report, Table
from hillfield.routing.measurement import (
    ALL_BROKEN,
    LOADS,
    measure_overload,
    measure_setting,
)
from hillfield.routing.simulation import Setting

Row = tuple[str | float, ...]

SEEDS: Final = 3
# Before the figures of a row stand the decisions' name and the seed.
FIGURES: Final = 2
SENT: Final = ('decisions', 'seed', 'sent per request')
WANTED_GOODPUT: Final = 0.9
MOST_SENT: Final = 1.1
BOUND: Final = f'at most {MOST_SENT} sent per request'
BOARDS: Final = (False, True)
NAMES: Final = ('hillfield', 'baseline')
CLOCK: Final = Condition('clock', 'modelled, nothing opens a socket')


def measure_goodput(options: Options) -> Report:
    """Measure answers a second per capacity, up to three times of it."""
    rows = tuple(_run_overload(options))
    least = min(map(_relate_last, _select_ours(rows)))
    loads = tuple(f'goodput at {load}x' for load in LOADS)
    return Report(
        'overload',
        conditions=(CLOCK,),
        tables=(Table('goodput', ('decisions', 'seed', *loads), rows),),
        checks=(
            Check(
                'goodput at 3x at least 90% of its peak',
                least >= WANTED_GOODPUT,
                f'{least:.3f} at the least',
            ),
        ),
    )


def measure_retries(options: Options) -> Report:
    """Measure what is sent per request when all targets fail."""
    rows = tuple(_run_broken(options))
    most = max(map(_take_last, _select_ours(rows)))
    table = Table('total failure of a service', SENT, rows)
    bound = Check(BOUND, most <= MOST_SENT, f'{most:.4f} at the most')
    return Report(
        'retries',
        conditions=(CLOCK,),
        tables=(table,),
        checks=(bound,),
    )


def _select_ours(rows: Iterable[Row]) -> list[Row]:
    return [row for row in rows if row[0] == NAMES[0]]


def _take_last(row: Row) -> float:
    return float(row[-1])


def _relate_last(row: Row) -> float:
    goodput = [float(cell) for cell in row[FIGURES:]]
    return goodput[-1] / max(goodput)


def _run_overload(options: Options) -> Iterable[Row]:
    for baseline, seed in product(BOARDS, _list_seeds(options)):
        goodput = measure_overload(Setting(seed=seed), baseline)
        yield (NAMES[baseline], seed, *goodput)


def _run_broken(options: Options) -> Iterable[Row]:
    for baseline, seed in product(BOARDS, _list_seeds(options)):
        tally = measure_setting(replace(ALL_BROKEN, seed=seed), baseline)
        yield (NAMES[baseline], seed, tally.sent / tally.arrived)


def _list_seeds(options: Options) -> range:
    count = 1 if options.quick else SEEDS
    return range(options.seed, options.seed + count)
