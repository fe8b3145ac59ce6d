"""Experiment `configuration`: from accepted to in force everywhere."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import Final

from hillfield.demo.layout import CLUSTER
from hillfield.emulator.store_control import Measurement
from hillfield.experiments.registry import Options
from hillfield.experiments.reports import Check, Condition, Report, Table
from hillfield.experiments.sizing.adoptions import measure_spread
from hillfield.experiments.sizing.edits import (
    Run,
    add_template,
    change_at_once,
    change_in_turn,
)
from hillfield.experiments.sizing.pausing import pause_node
from hillfield.experiments.sizing.rigs import OPERATOR, Rig, RigPlan, start_rig
from hillfield.experiments.sizing.series import COLUMNS, Series
from hillfield.fleet.slots import make_relay_prefix

NODES: Final = 24
SINGLES: Final = 40
PAUSES: Final = 20
SINGLE: Final = Run('one-by-one', SINGLES)
QUICK: Final = Run('one-by-one', SINGLES // 4)
BURST: Final = Run('burst', 100)
# Longer than a relay's lease, so that its slot is taken over meanwhile.
PAUSED: Final = Run('relay-paused', PAUSES, gap=1)
MOST: Final = 2.0
MOST_PAUSED: Final = 12.0
RELAYS: Final = 64


def measure(options: Options) -> Report:
    """Measure with the store up, in a burst, and with a relay paused."""
    return asyncio.run(_measure(QUICK if options.quick else SINGLE))


async def _measure(single: Run) -> Report:
    async with start_rig(RigPlan(NODES)) as rig:
        await add_template(rig)
        series = (
            await _measure_in_turn(rig, single),
            await _measure_at_once(rig, BURST),
            await _measure_paused(rig),
        )
        calls = await rig.read_calls()
    rows = tuple(each.as_row() for each in series)
    return Report(
        'configuration',
        conditions=(
            Condition('nodes', f'{NODES} processes, 8 domains, 2 regions'),
            Condition('from', "the store's answer to the operator's write"),
            Condition('to', 'event 5001 at the last node, same wall clock'),
        ),
        tables=(Table('in force everywhere', ('changes', *COLUMNS), rows),),
        checks=tuple(_judge(series)),
        notes=(_describe_calls(calls),),
    )


def _judge(series: tuple[Series, ...]) -> Iterable[Check]:
    for each, bound in zip(series, (MOST, MOST, MOST_PAUSED), strict=True):
        name = f'{each.name}: p99 at most {bound} s'
        found = each.high
        yield Check(name, found <= bound, f'{found:.3f} s')


async def _measure_in_turn(rig: Rig, run: Run) -> Series:
    accepted = await change_in_turn(rig, run)
    return Series(run.name, await measure_spread(rig, accepted))


async def _measure_at_once(rig: Rig, run: Run) -> Series:
    accepted = await change_at_once(rig, run)
    return Series(run.name, await measure_spread(rig, accepted))


async def _measure_paused(rig: Rig) -> Series:
    holder = await _find_holder(rig)
    with pause_node(rig, holder):
        return await _measure_in_turn(rig, PAUSED)


async def _find_holder(rig: Rig) -> str:
    """Return the node that holds the first relay entry of the store."""
    found = await rig.store.read_range(make_relay_prefix(CLUSTER), '', RELAYS)
    links = {str(host.links): host.name for host in rig.layout.hosts}
    holders = (links[entry.payload.decode()] for entry in found.ok.entries)
    return next(holders)


def _describe_calls(calls: Measurement) -> str:
    seconds: Counter[int] = Counter()
    for total in calls.totals:
        if total.client != OPERATOR:
            seconds[total.second] += total.calls
    most = max(seconds.values(), default=0)
    return (
        f'store calls by all nodes: {seconds.total()}, at most {most} in one'
        f' second; waiting watches at most: {calls.most_watches}'
    )
