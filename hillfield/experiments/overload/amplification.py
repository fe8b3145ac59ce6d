"""Experiment `retries`: what real nodes send when a whole service fails."""

import asyncio
from itertools import product
from typing import Final

import uvloop
from msgspec import Struct

from hillfield.emulator import Behaviour
from hillfield.experiments.overload.goodput import NAMES, run_load
from hillfield.experiments.overload.ground import GroundPlan, open_ground
from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Cell, Check, Condition, Report, Table

LOAD: Final = 0.5
MOST_SENT: Final = 1.1
ALWAYS: Final = 1
DIGITS: Final = 4
FAILURES: Final = (
    ('wrong answers', Behaviour(wrong=ALWAYS)),
    ('resets', Behaviour(reset=ALWAYS)),
)
COLUMNS: Final = ('decisions', 'failure', 'requests', 'runs', 'per request')


class Failing(Struct, frozen=True):
    """Hold how many requests came and how many runs began."""

    baseline: bool
    failure: str
    requests: int
    runs: int

    def ratio(self) -> float:
        """Return the runs per request."""
        return self.runs / self.requests

    def row(self) -> tuple[Cell, ...]:
        """Return the row of the table."""
        ratio = round(self.ratio(), DIGITS)
        name = NAMES[self.baseline]
        return name, self.failure, self.requests, self.runs, ratio


def measure_retries(options: Options) -> Report:
    """Let all targets fail and count what they are sent."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        cases = [
            runner.run(_run_one(options, baseline, *failure))
            for baseline, failure in product((False, True), FAILURES)
        ]
    most = max(case.ratio() for case in cases if not case.baseline)
    return Report(
        'retries',
        conditions=(
            Condition('fleet', '3 nodes, 3 targets of 4 slots, 3 of 3'),
            Condition('load', f'{LOAD} of capacity, half idempotent'),
        ),
        tables=(
            Table(
                'total failure of a service',
                COLUMNS,
                tuple(case.row() for case in cases),
            ),
        ),
        checks=(
            Check(
                f'at most {MOST_SENT} runs per request',
                most <= MOST_SENT,
                f'{most:.4f} at the most',
            ),
        ),
    )


async def _run_one(
    options: Options,
    baseline: bool,
    name: str,
    behaviour: Behaviour,
) -> Failing:
    async with open_ground(GroundPlan(baseline=baseline)) as ground:
        await run_load(ground, LOAD, options)
        before = ground.count_runs()
        await ground.behave(behaviour)
        tally = await run_load(ground, LOAD, options)
        runs = ground.count_runs() - before
    return Failing(baseline, name, len(tally.seen.endings), runs)
