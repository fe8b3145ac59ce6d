"""Experiment `full-state`: one real node with the whole design's state."""

from asyncio import create_task, gather, run
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Check, Condition, Report, Table
from hillfield.experiments.sizing.imports import PARTS, measure_import
from hillfield.experiments.sizing.plans import LASTING
from hillfield.experiments.sizing.readings import Memory
from hillfield.experiments.sizing.rigs import Rig, RigPlan, start_rig
from hillfield.experiments.sizing.speaker import Speaker
from hillfield.experiments.sizing.stages import (
    Stage,
    load_stages,
    measure_change,
)
from hillfield.experiments.sizing.windows import MEGABYTE

NODES: Final = 600
TARGETS_A_NODE: Final = 13
LONG: Final = 12.0
SHORT: Final = 4.0
MOST_MEMORY: Final = 32
MOST_PROCESSOR: Final = 2.9
MEMORY_COLUMNS: Final = ('process', 'anonymous MB', 'PSS MB', 'RSS MB')
WINDOW_COLUMNS: Final = ('state', 'processor %', 'received B/s', 'sent B/s')


def measure(options: Options) -> Report:
    """Load the state step by step and measure the node after each."""
    return run(_measure(SHORT if options.quick else LONG))


async def _measure(window: float) -> Report:
    parts = tuple((name, measure_import(code)) for name, code in PARTS)
    async with start_rig(RigPlan(1, LASTING)) as rig:
        async with _speak(rig) as speaker:
            stages = await load_stages(rig, speaker, window)
            cost = await measure_change(rig, speaker, window)
    held = (*parts, *((stage.name, stage.memory) for stage in stages))
    return Report(
        'full-state',
        conditions=(
            Condition('state', '600 nodes, 7,900 targets, 59,000 accounts'),
            Condition('peer', 'one process that speaks for 599 nodes'),
        ),
        tables=(
            Table('memory', MEMORY_COLUMNS, tuple(map(_show_memory, held))),
            Table('quiet', WINDOW_COLUMNS, tuple(map(_show_stage, stages))),
            Table(
                'costs',
                ('cost', 'amount', 'unit'),
                (('record changed: processor', cost, 'us'),),
            ),
        ),
        checks=_judge(stages),
    )


@asynccontextmanager
async def _speak(rig: Rig) -> AsyncIterator[Speaker]:
    node = rig.layout.hosts[0].links
    speaker = Speaker(node, NODES, TARGETS_A_NODE)
    speaking = create_task(speaker.run())
    yield speaker
    speaking.cancel()
    await gather(speaking, return_exceptions=True)
    speaker.close()


def _show_memory(held: tuple[str, Memory]) -> tuple[str | float, ...]:
    name, memory = held
    return (
        name,
        memory.anonymous / MEGABYTE,
        memory.proportional / MEGABYTE,
        memory.resident / MEGABYTE,
    )


def _show_stage(stage: Stage) -> tuple[str | float, ...]:
    window = stage.window
    return (stage.name, window.processor, window.received, window.sent)


def _judge(stages: tuple[Stage, ...]) -> tuple[Check, ...]:
    first, last = stages[0], stages[-1]
    grown = (last.memory.anonymous - first.memory.anonymous) / MEGABYTE
    used = last.window.processor
    return (
        Check(
            f'state at full size at most {MOST_MEMORY} MB',
            grown <= MOST_MEMORY,
            f'{grown:.1f} MB more than an idle node',
        ),
        Check(
            f'quiet at full state at most {MOST_PROCESSOR}% of a core',
            used <= MOST_PROCESSOR,
            f'{used:.2f}%',
        ),
    )
