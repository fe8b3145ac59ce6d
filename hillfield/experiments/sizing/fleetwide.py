"""Experiment `fleet`: what control costs a node, by the size of the fleet."""

import asyncio
from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Check, Condition, Report, Table
from hillfield.experiments.sizing.filling import Filler
from hillfield.experiments.sizing.fits import Fit, fit
from hillfield.experiments.sizing.fitting import SLOPE_COLUMNS, show_fit
from hillfield.experiments.sizing.joining import (
    JOIN_COLUMNS,
    Joining,
    measure_joining,
)
from hillfield.experiments.sizing.plans import (
    FULL,
    LASTING,
    QUICK,
    SweepPlan,
)
from hillfield.experiments.sizing.rigs import RigPlan, start_rig
from hillfield.experiments.sizing.sweeps import (
    Loaded,
    Sample,
    sweep_accounts,
    sweep_changes,
    sweep_nodes,
    sweep_targets,
)

MOST_PROCESSOR: Final = 2.9
MOST_BYTES: Final = 5000
WINDOW_COLUMNS: Final = (
    'over',
    'size',
    'processor %',
    'received B/s',
    'sent B/s',
    'memory MB',
    'store calls/s',
)
UNITS: Final = (
    ('processor', '%'),
    ('received', 'B/s'),
    ('sent', 'B/s'),
    ('memory', 'MB'),
    ('store', 'calls/s'),
)

Row = tuple[str | float, ...]


class Sweep(Struct, frozen=True):
    """Hold the samples over one thing."""

    over: str
    samples: tuple[Sample, ...]


def measure(options: Options) -> Report:
    """Measure real nodes by nodes, targets, accounts and changes."""
    return asyncio.run(_measure(QUICK if options.quick else FULL))


async def _measure(plan: SweepPlan) -> Report:
    by_nodes = Sweep('nodes', await sweep_nodes(plan))
    async with start_rig(RigPlan(plan.fixed_nodes, LASTING)) as rig:
        loaded = Loaded(plan, rig, Filler(rig))
        sweeps = (by_nodes, *await _sweep_load(loaded))
        costs = _list_costs(await measure_joining(rig))
    return _report(plan, sweeps, costs)


async def _sweep_load(loaded: Loaded) -> tuple[Sweep, ...]:
    # Targets come last: a node speaks for its host's targets only one expiry
    # after its start, and they expire.
    return (
        Sweep('accounts', await sweep_accounts(loaded)),
        Sweep('changes/s', await sweep_changes(loaded)),
        Sweep('targets', await sweep_targets(loaded)),
    )


def _report(
    plan: SweepPlan,
    sweeps: tuple[Sweep, ...],
    costs: tuple[Row, ...],
) -> Report:
    fits = tuple(each for sweep in sweeps for each in fit_sweep(sweep))
    return Report(
        'fleet',
        conditions=(
            Condition('nodes', 'processes in 8 domains, 2 regions, loopback'),
            Condition('fixed', f'{plan.fixed_nodes} nodes but where swept'),
            Condition('window', f'{plan.window} s, median node'),
        ),
        tables=(
            Table('windows', WINDOW_COLUMNS, tuple(_list_windows(sweeps))),
            Table('slopes', SLOPE_COLUMNS, tuple(map(show_fit, fits))),
            Table('costs', JOIN_COLUMNS, costs),
        ),
        checks=tuple(_judge(sweeps)),
    )


def fit_sweep(sweep: Sweep) -> tuple[Fit, ...]:
    """Lay a line through each figure of a sweep."""
    return tuple(
        fit(
            f'{figure} by {sweep.over}',
            unit,
            sweep.over,
            tuple(
                (sample.size, getattr(sample.window, figure))
                for sample in sweep.samples
            ),
        )
        for figure, unit in UNITS
    )


def _list_windows(
    sweeps: Iterable[Sweep],
) -> Iterable[Row]:
    for sweep in sweeps:
        for sample in sweep.samples:
            figures = (getattr(sample.window, name) for name, _ in UNITS)
            yield (sweep.over, sample.size, *figures)


def _list_costs(
    joined: Joining,
) -> tuple[Row, ...]:
    return (
        ('join: until ready', joined.seconds, 's'),
        ('join: processor', joined.processor, 's'),
        ('join: received', joined.received, 'B'),
        ('join: store calls', joined.calls, 'calls'),
    )


def _judge(sweeps: Iterable[Sweep]) -> Iterable[Check]:
    windows = [
        sample.window
        for sweep in sweeps
        for sample in sweep.samples
        if sweep.over != 'changes/s'
    ]
    processor = max(window.processor for window in windows)
    received = max(window.received for window in windows)
    moved = max(received, *(window.sent for window in windows))
    yield Check(
        f'quiet nodes at most {MOST_PROCESSOR}% of a core',
        processor <= MOST_PROCESSOR,
        f'{processor:.2f}%',
    )
    yield Check(
        f'quiet nodes at most {MOST_BYTES} B/s each way',
        moved <= MOST_BYTES,
        f'{moved:.0f} B/s',
    )
