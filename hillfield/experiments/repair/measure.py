"""Experiment `repair`: scenes of failure, judged by the oracle."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from hillfield.demo.traffic import Example, read_example
from hillfield.emulator import Promise
from hillfield.experiments.registry import Options
from hillfield.experiments.repair.catalogue import PARTED, QUICK, SCENES
from hillfield.experiments.repair.ground import DOMAINS, HOSTS, REGIONS
from hillfield.experiments.repair.judging import Judged
from hillfield.experiments.repair.playing import play_scenes
from hillfield.experiments.reports import (
    Cell,
    Check,
    Condition,
    Report,
    Table,
)

EXAMPLES: Final = Path('examples')
WORDS: Final = ('BROKEN', 'held')
NEVER: Final = 'never'


def measure(options: Options) -> Report:
    """Break a fleet of real processes; needs the folder `examples`."""
    example = read_example(EXAMPLES)
    if example.is_error():
        return Report(
            'repair',
            checks=(Check('examples', held=False, detail=example.error),),
        )
    judged = asyncio.run(_play(example.ok, options))
    return report_scenes(judged)


def report_scenes(judged: tuple[Judged, ...]) -> Report:
    """Report what became of each promise in each scene."""
    promises = Table(
        'promises',
        ('scene', *Promise),
        tuple(map(_show_promises, judged)),
    )
    columns = ('scene', 'whole after s', 'requests', 'answered', 'lost')
    return Report(
        'repair',
        conditions=(
            Condition('nodes', f'{HOSTS} processes on loopback'),
            Condition('places', f'{DOMAINS} domains in {REGIONS} regions'),
            Condition('traffic', 'open loop, both users, all the time'),
        ),
        tables=(
            promises,
            Table('service', columns, tuple(map(_show_service, judged))),
            Table(
                'time line',
                ('scene', 'events'),
                tuple((each.name, each.told) for each in judged),
            ),
        ),
        checks=tuple(check for each in judged for check in _check(each)),
    )


async def _play(example: Example, options: Options) -> tuple[Judged, ...]:
    if options.quick:
        return await play_scenes(QUICK, example)
    return (
        *await play_scenes(SCENES, example),
        *await play_scenes(PARTED, example, switchable=True),
    )


def _show_promises(judged: Judged) -> tuple[Cell, ...]:
    held = (WORDS[verdict.held] for verdict in judged.verdicts)
    return (judged.name, *held)


def _show_service(judged: Judged) -> tuple[Cell, ...]:
    return (
        judged.name,
        NEVER if judged.seconds is None else judged.seconds,
        judged.requests,
        judged.answered,
        judged.lost,
    )


def _check(judged: Judged) -> Iterable[Check]:
    for verdict in judged.verdicts:
        detail = verdict.detail or f'by {verdict.facts} facts'
        yield Check(f'{judged.name}: {verdict.promise}', verdict.held, detail)
    for wish in judged.wishes:
        yield Check(f'{judged.name}: {wish.name}', wish.held, wish.detail)
    yield Check(
        f'{judged.name}: whole again',
        judged.seconds is not None,
        NEVER if judged.seconds is None else f'{judged.seconds:.1f} s',
    )
