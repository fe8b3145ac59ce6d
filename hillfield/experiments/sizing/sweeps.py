"""Measure a rig at several sizes of one thing, all else unchanged."""

from asyncio import create_task, sleep
from collections.abc import Awaitable, Callable
from functools import partial

from msgspec import Struct

from hillfield.configuration.samples import SampleSize
from hillfield.experiments.sizing.edits import add_template, keep_changing
from hillfield.experiments.sizing.filling import Filler
from hillfield.experiments.sizing.plans import (
    ROUTES,
    TEMPLATES,
    SweepPlan,
)
from hillfield.experiments.sizing.rigs import Rig, RigPlan, start_rig
from hillfield.experiments.sizing.windows import Window, watch


class Sample(Struct, frozen=True):
    """Hold what was measured at one size."""

    size: float
    window: Window


class Loaded(Struct, frozen=True):
    """Hold a rig that runs, and what fills it."""

    plan: SweepPlan
    rig: Rig
    filler: Filler


async def sweep_nodes(plan: SweepPlan) -> tuple[Sample, ...]:
    """Measure quiet fleets without targets or configuration."""
    return await _measure_each(plan.nodes, partial(_measure_quiet, plan))


async def sweep_targets(loaded: Loaded) -> tuple[Sample, ...]:
    """Measure a quiet fleet by its targets."""
    measure = partial(_measure_targets, loaded)
    return await _measure_each(loaded.plan.targets, measure)


async def sweep_accounts(loaded: Loaded) -> tuple[Sample, ...]:
    """Measure a quiet fleet by its client accounts."""
    measure = partial(_measure_accounts, loaded)
    return await _measure_each(loaded.plan.accounts, measure)


async def sweep_changes(loaded: Loaded) -> tuple[Sample, ...]:
    """Measure a fleet by its changes of configuration a second."""
    await add_template(loaded.rig)
    measure = partial(_measure_changes, loaded)
    return await _measure_each(loaded.plan.changes, measure)


async def _measure_each(
    sizes: tuple[int, ...],
    measure: Callable[[int], Awaitable[Sample]],
) -> tuple[Sample, ...]:
    samples = []
    for size in sizes:
        # One size after the other is what a sweep is.
        samples.append(await measure(size))  # noqa: WPS476
    return tuple(samples)


async def _measure_quiet(plan: SweepPlan, nodes: int) -> Sample:
    async with start_rig(RigPlan(nodes)) as rig:
        return Sample(nodes, await _settle(plan, rig))


async def _measure_targets(loaded: Loaded, per_node: int) -> Sample:
    await loaded.filler.announce(per_node)
    await loaded.filler.repeat(1)
    targets = per_node * loaded.plan.fixed_nodes
    return Sample(targets, await _settle(loaded.plan, loaded.rig))


async def _measure_accounts(loaded: Loaded, accounts: int) -> Sample:
    size = SampleSize(accounts, TEMPLATES, ROUTES)
    revision = await loaded.filler.write(size)
    await loaded.rig.await_revision(revision)
    return Sample(accounts, await _settle(loaded.plan, loaded.rig))


async def _measure_changes(loaded: Loaded, rate: int) -> Sample:
    seconds = loaded.plan.window
    changing = create_task(keep_changing(loaded.rig, rate, seconds))
    window = await watch(loaded.rig, seconds)
    return Sample(await changing / seconds, window)


async def _settle(plan: SweepPlan, rig: Rig) -> Window:
    await sleep(plan.settle)
    return await watch(rig, plan.window)
