"""Experiment `calling`: services that call each other, with hung targets."""

from collections import Counter
from collections.abc import Sequence
from statistics import mean, stdev
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.experiments.calling.deployment import CLAIMS, Burst, Deployment
from hillfield.experiments.calling.play import EARNED, Outcome, play
from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Cell, Condition, Report, Table

SECONDS: Final = 30.0
SEEDS: Final = 20
QUICK_SEEDS: Final = 2
MEGABYTE: Final = 1e6
DIGITS: Final = 3
USUAL: Final = 'usual load'
CROWDING: Final = 1.8
CROWDED: Final = f'{CROWDING} times the load for 8 s'
CROWDED_FROM: Final = 10.0
CROWDED_TO: Final = 18.0
CROWD: Final = Burst(CROWDING, CROWDED_FROM, CROWDED_TO)


def measure(options: Options) -> Report:
    """Play each load with some seeds; tell what callers got."""
    amount = QUICK_SEEDS if options.quick else SEEDS
    seeds = range(options.seed, options.seed + amount)
    cases = (
        _play_all(USUAL, CLAIMS, seeds),
        _play_all(CROWDED, replace(CLAIMS, burst=CROWD), seeds),
    )
    return Report(
        'calling',
        conditions=(
            Condition('clock', 'modelled, nothing opens a socket'),
            Condition('seeds', str(amount)),
            Condition('seconds', str(SECONDS)),
        ),
        tables=(*map(_tabulate, cases), _compare(cases)),
    )


class _Case(Struct, frozen=True):
    name: str
    outcomes: tuple[Outcome, ...]


def _play_all(name: str, deployment: Deployment, seeds: range) -> _Case:
    outcomes = tuple(play(deployment, SECONDS, seed) for seed in seeds)
    return _Case(name, outcomes)


def _tabulate(case: _Case) -> Table:
    counts: dict[str, Counter[str]] = {}
    for outcome in case.outcomes:
        for route, counter in outcome.counts.items():
            counts.setdefault(route, Counter()).update(counter)
    return Table(
        f'share of requests, {case.name}',
        ('kind', *EARNED),
        tuple(map(_make_row, counts, counts.values())),
    )


def _make_row(route: str, ends: Counter[str]) -> tuple[Cell, ...]:
    whole = ends.total()
    shares = (ends[how] / whole for how in EARNED)
    return (route, *(round(share, DIGITS) for share in shares))


def _compare(cases: tuple[_Case, ...]) -> Table:
    return Table(
        'over all kinds, means of the seeds',
        (
            'load',
            'worth earned',
            'its deviation',
            'not served',
            'MB across',
            'most repeats in 10 s',
        ),
        tuple((case.name, *_sum_up(case.outcomes)) for case in cases),
    )


def _sum_up(outcomes: Sequence[Outcome]) -> tuple[float, ...]:
    earned = [outcome.earned / outcome.owed for outcome in outcomes]
    lost = [outcome.share('refused', 'failed') for outcome in outcomes]
    crossing = [outcome.crossing.total() / MEGABYTE for outcome in outcomes]
    repeats = [max(outcome.repeats.values()) for outcome in outcomes]
    return (
        round(mean(earned), DIGITS),
        round(stdev(earned), DIGITS),
        round(mean(lost), DIGITS),
        round(mean(crossing), DIGITS),
        max(repeats),
    )
