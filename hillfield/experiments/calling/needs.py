"""Experiment `limits`: targets that name how many requests they take."""

from collections.abc import Sequence
from statistics import mean, quantiles
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.experiments.calling.deployment import (
    Deployment,
    Need,
    read_deployment,
)
from hillfield.experiments.calling.play import Outcome, play
from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Cell, Condition, Report, Table

TERMINALS: Final = read_deployment('terminals')
SERVICE: Final = 'terminals'
TARGETS: Final = sum(TERMINALS.targets[SERVICE])
# Requests a second that a target in need takes: half of what each gets.
RATE: Final = 3.0
SECONDS: Final = 35.0
BEGIN: Final = 5.0
END: Final = 30.0
# Seconds of the windows of the users' rule, from which it counts, and its slack.
WINDOW: Final = 4.0
CONTACT: Final = 3.0
FACTOR: Final = 1.5
SLACK: Final = 5
SEEDS: Final = 10
QUICK_SEEDS: Final = 1
IN_NEED: Final = (0, 1, TARGETS // 2, TARGETS)
TWENTIETHS: Final = 20
DIGITS: Final = 3


class Figures(Struct, frozen=True):
    """Sum up plays: shares of all requests, and seconds.

    `used` is what targets in need got of what they take, `most` the part of
    what the users' rule allows in the worst window of any.
    """

    served: float
    late: float
    refused: float
    failed: float
    declines: float
    latency: float
    used: float
    most: float


def measure(options: Options) -> Report:
    """Play with none, one, half and all targets in need."""
    amount = QUICK_SEEDS if options.quick else SEEDS
    seeds = range(options.seed, options.seed + amount)
    rows = tuple(_make_row(count, seeds) for count in IN_NEED)
    return Report(
        'limits',
        conditions=(
            Condition('clock', 'modelled, nothing opens a socket'),
            Condition('seeds', str(amount)),
            Condition('targets', str(TARGETS)),
            Condition('requests a second each takes in need', str(RATE)),
        ),
        tables=(
            Table(
                f'targets in need from {BEGIN} to {END} of {SECONDS} s',
                (
                    'in need',
                    'served',
                    'late',
                    'refused',
                    'failed',
                    'declines a request',
                    'seconds, 95 in 100',
                    'limit used',
                    'of the most allowed in 4 s',
                ),
                rows,
            ),
        ),
    )


def play_need(count: int, seeds: Sequence[int]) -> Figures:
    """Play with so many targets in need."""
    need = Need(SERVICE, count, RATE, BEGIN, END)
    deployment: Deployment = replace(TERMINALS, need=need)
    return sum_up([play(deployment, SECONDS, seed) for seed in seeds])


def sum_up(outcomes: Sequence[Outcome]) -> Figures:
    """Return the means over plays, and the worst window of all."""
    asked = [
        sum(ends.total() for ends in outcome.counts.values())
        for outcome in outcomes
    ]
    declined = sum(outcome.declined for outcome in outcomes)
    waits = [wait for outcome in outcomes for wait in outcome.waits]
    needing = [moments for outcome in outcomes for moments in outcome.needing]
    return Figures(
        mean(outcome.share('ok', 'late') for outcome in outcomes),
        mean(outcome.share('late') for outcome in outcomes),
        mean(outcome.share('refused') for outcome in outcomes),
        mean(outcome.share('failed') for outcome in outcomes),
        declined / sum(asked),
        quantiles(waits, n=TWENTIETHS)[-1],
        mean(map(_find_used, needing)) if needing else 0,
        max(map(_find_most, needing), default=0),
    )


def _make_row(count: int, seeds: range) -> tuple[Cell, ...]:
    figures = play_need(count, seeds)
    shares = (
        figures.served,
        figures.late,
        figures.refused,
        figures.failed,
        figures.declines,
        figures.latency,
        figures.used,
        figures.most,
    )
    return (count, *(round(share, DIGITS) for share in shares))


def _find_used(moments: tuple[float, ...]) -> float:
    counted = [moment for moment in moments if BEGIN + 1 <= moment < END]
    return len(counted) / (RATE * (END - BEGIN - 1))


def _find_most(moments: tuple[float, ...]) -> float:
    """Return the worst window from when the rule counts, as a share."""
    begins = BEGIN + CONTACT - WINDOW
    counted = [moment for moment in moments if begins <= moment < END]
    most = max(
        (
            sum(start <= moment < start + WINDOW for moment in counted)
            for start in counted
        ),
        default=0,
    )
    return most / (FACTOR * RATE * WINDOW + SLACK)
