"""Experiment `detection-nodes`: real nodes before emulated targets."""

from asyncio import run
from typing import Final

from hillfield.experiments.gray.measure import (
    Findings,
    check_faults,
    check_innocence,
    choose_schedule,
    make_fault_table,
    make_innocence_table,
    watch,
)
from hillfield.experiments.gray.plans import NODES, SIZES
from hillfield.experiments.registry import Options, Registry
from hillfield.experiments.reports import Condition, Report

NOTE: Final = (
    'seconds run from the onset to the last request that the target got'
    ' before the nodes that send it work had it out'
)


def measure(options: Options) -> Report:
    """Measure detection and false ejections on real nodes."""
    own, plain = run(_watch_both(options))
    return Report(
        'detection-nodes',
        conditions=_describe(),
        tables=(
            make_fault_table(own, plain),
            make_innocence_table(own, plain),
        ),
        checks=(*check_faults(own, plain), *check_innocence(own)),
        notes=(NOTE,),
    )


async def _watch_both(options: Options) -> tuple[Findings, Findings]:
    schedule = choose_schedule(quick=options.quick)
    own = await watch(schedule, baseline=False)
    return own, await watch(schedule, baseline=True)


def _describe() -> tuple[Condition, ...]:
    sizes = ', '.join(
        f'{size.name}: {size.targets} targets of {size.slots} slots,'
        f' {size.rate} requests a second'
        for size in SIZES
    )
    return (
        Condition('services', sizes),
        Condition('nodes', f'{NODES} processes, each its failure domain'),
    )


def register_gray(registry: Registry) -> None:
    """Add the experiment."""
    registry.register(
        'detection-nodes',
        'Detection by real nodes: sick targets found, healthy ones kept.',
        measure,
    )
