"""Experiments `detection` and `false-ejections`, against the baseline."""

from collections.abc import Iterable
from itertools import product
from typing import Final

from hillfield.detection.disturbances import HARMLESS, Disturbance
from hillfield.detection.measurement import run_simulation as run_trial
from hillfield.detection.simulations import (
    KESTRELMOOR,
    LOST_PROPERTY,
    DetectorKind,
)
from hillfield.detection.summaries import Summary, plan_simulations, summarise
from hillfield.experiments.registry import Options
from hillfield.experiments.reports import (
    Cell,
    Check,
    Condition,
    Report,
    Table,
)

SIZES: Final = (KESTRELMOOR, LOST_PROPERTY)
SEEDS: Final = 5
PLAIN_COST: Final = 1.0
NEVER: Final = float('inf')
WANTED_MEDIAN: Final = 1.0
CERTAIN: Final = frozenset(
    (Disturbance.SLOW_FIVEFOLD, Disturbance.WRONG_ALWAYS, Disturbance.STALL),
)


def measure_detection(options: Options) -> Report:
    """Measure how long a failing target keeps receiving traffic."""
    troubles = tuple(each for each in Disturbance if each not in HARMLESS)
    cases = tuple(_run_cases(troubles, options))
    columns = ('service', 'trouble', 'board', 'median s', 'slowest s')
    return Report(
        'detection',
        conditions=_describe(options),
        tables=(
            Table('until the last request', columns, tuple(map(_row, cases))),
        ),
        checks=tuple(
            Check(
                f'{_name(case)} within 1 s median',
                _or_never(case.median) <= WANTED_MEDIAN,
                f'{_or_never(case.median):.2f} s',
            )
            for case in cases
            if case.disturbance in CERTAIN
            and case.detector is DetectorKind.HEALTH
        ),
    )


def measure_false_ejections(options: Options) -> Report:
    """Count healthy targets that are taken out of service."""
    cases = tuple(_run_cases(tuple(sorted(HARMLESS)), options))
    columns = ('service', 'trouble', 'board', 'false ejections')
    return Report(
        'false-ejections',
        conditions=_describe(options),
        tables=(Table('taken out', columns, tuple(map(_count_row, cases))),),
        checks=tuple(
            Check(
                f'none under {_name(case)}',
                not case.false_ejections,
                str(case.false_ejections),
            )
            for case in cases
            if case.detector is DetectorKind.HEALTH
        ),
    )


def _run_cases(
    troubles: tuple[Disturbance, ...],
    options: Options,
) -> Iterable[Summary]:
    seeds = range(options.seed, options.seed + _count_seeds(options))
    for size, trouble, board in product(SIZES, troubles, DetectorKind):
        trials = plan_simulations(size, trouble, board, PLAIN_COST, seeds)
        yield summarise(tuple(map(run_trial, trials)))


def _count_seeds(options: Options) -> int:
    return 1 if options.quick else SEEDS


def _describe(options: Options) -> tuple[Condition, ...]:
    rates = ', '.join(f'{size.name} {size.rate}' for size in SIZES)
    return (
        Condition('requests a second', rates),
        Condition('seeds', str(_count_seeds(options))),
        Condition('clock', 'modelled, nothing opens a socket'),
    )


def _name(case: Summary) -> str:
    return ' at '.join((case.disturbance, case.size))


def _or_never(seconds: float | None) -> float:
    return NEVER if seconds is None else seconds


def _row(case: Summary) -> tuple[Cell, ...]:
    # Of fewer than a hundred trials the slowest stands for the p99.
    return (
        case.size,
        case.disturbance,
        case.detector,
        _or_never(case.median),
        _or_never(case.p99),
    )


def _count_row(case: Summary) -> tuple[Cell, ...]:
    return (case.size, case.disturbance, case.detector, case.false_ejections)
