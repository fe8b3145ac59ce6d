"""Experiment `announcements`: what a node spends on its host's targets."""

from asyncio import run
from typing import Final

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Condition, Report, Table
from hillfield.experiments.sizing.filling import Filler
from hillfield.experiments.sizing.joining import (
    JOIN_COLUMNS,
    measure_announcement,
)
from hillfield.experiments.sizing.rigs import RigPlan, start_rig

NODES: Final = 4
TARGETS: Final = 52


def measure(options: Options) -> Report:
    """Measure repeated announcements of targets that nodes know."""
    cost = run(_measure())
    rows = (('announcement: processor', cost, 'us'),)
    return Report(
        'announcements',
        conditions=(Condition('nodes', f'{NODES}, {TARGETS} targets each'),),
        tables=(Table('costs', JOIN_COLUMNS, rows),),
    )


async def _measure() -> float:
    async with start_rig(RigPlan(NODES)) as rig:
        filler = Filler(rig)
        await filler.announce(TARGETS)
        return await measure_announcement(rig, filler)
