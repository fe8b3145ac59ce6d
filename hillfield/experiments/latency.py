"""Experiment `latency`: what a node adds to direct calls."""

from typing import Final

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import (
    Chart,
    Check,
    Condition,
    Report,
    Series,
    Table,
)
from hillfield.proxy.measurement.latency import (
    AddedLatency,
    LatencyPlan,
    measure_latency,
)

MOST_ADDED: Final = 1.6
QUICK: Final = LatencyPlan(factors=(1,), seconds=3, repeats=1)
COLUMNS: Final = (
    'requests/s',
    'requests',
    'direct p50 ms',
    'direct p99 ms',
    'added p50 ms',
    'added p99 ms',
)


def measure(options: Options) -> Report:
    """Measure the node against direct calls, interleaved in one run."""
    findings = measure_latency(QUICK if options.quick else LatencyPlan())
    share = findings.added[0]
    capacity = round(findings.capacity_per_core)
    return Report(
        'latency',
        conditions=(Condition('load', 'open loop, loopback, 1 KB bodies'),),
        tables=(
            Table('added latency', COLUMNS, tuple(map(_row, findings.added))),
        ),
        checks=(
            Check(
                f'added p99 at most {MOST_ADDED} ms at the per-node share',
                share.added_p99 <= MOST_ADDED,
                f'{share.added_p99} ms at {share.rate} requests/s',
            ),
        ),
        charts=(_draw(findings.added),),
        notes=(f'capacity per core: {capacity} requests/s',),
    )


def _draw(added: tuple[AddedLatency, ...]) -> Chart:
    return Chart(
        'added latency',
        'requests/s',
        'ms',
        (
            Series('p50', tuple((at.rate, at.added_p50) for at in added)),
            Series('p99', tuple((at.rate, at.added_p99) for at in added)),
        ),
    )


def _row(added: AddedLatency) -> tuple[float, ...]:
    direct = (added.direct_p50, added.direct_p99)
    return (
        added.rate,
        added.requests,
        *direct,
        added.added_p50,
        added.added_p99,
    )
