"""Fill one real node step by step with the state of the whole design."""

from asyncio import create_task, sleep
from functools import partial
from typing import Final

from msgspec import Struct

from hillfield.configuration.samples import SampleSize
from hillfield.experiments.sizing.filling import SERVICES, Filler
from hillfield.experiments.sizing.readings import Memory, read_memory
from hillfield.experiments.sizing.rigs import Rig
from hillfield.experiments.sizing.speaker import Speaker
from hillfield.experiments.sizing.windows import Window, watch

OWN_TARGETS: Final = 14
RATE: Final = 20
SETTLE: Final = 5.0
MICRO: Final = 1e6
PERCENT: Final = 100


class Stage(Struct, frozen=True):
    """Hold what the node used in one state."""

    name: str
    memory: Memory
    window: Window


async def load_stages(
    rig: Rig,
    speaker: Speaker,
    window: float,
) -> tuple[Stage, ...]:
    """Fill the node step by step and measure it after each."""
    filler = Filler(rig)
    steps = (
        ('idle node', _do_nothing),
        ('+ 600 nodes, 7,900 targets', partial(_fill_fleet, speaker, filler)),
        ('+ 59,000 accounts', partial(_fill_accounts, rig, filler)),
        ('+ all 260 services in use', partial(_use_all, rig)),
    )
    stages = []
    for name, fill in steps:
        # Each step adds to the state that the ones before it left.
        await fill()  # noqa: WPS476
        stage = await _measure_stage(rig, name, window)  # noqa: WPS476
        stages.append(stage)
    return tuple(stages)


async def _do_nothing() -> None:
    """Leave the node as it started."""


async def _fill_fleet(speaker: Speaker, filler: Filler) -> None:
    await speaker.tell_all()
    await filler.announce(OWN_TARGETS)


async def _fill_accounts(rig: Rig, filler: Filler) -> None:
    revision = await filler.write(SampleSize())
    await rig.await_revision(revision)


async def _measure_stage(rig: Rig, name: str, seconds: float) -> Stage:
    await sleep(SETTLE)
    window = await watch(rig, seconds)
    pid = next(iter(rig.pids.values()))
    return Stage(name, read_memory(pid), window)


async def _use_all(rig: Rig) -> None:
    """Have the node set up all services, as requests for them would."""
    control = rig.layout.hosts[0].control
    for number in range(SERVICES):
        service = f'service-{number}'
        # One at a time: the node is to be measured, not its queue.
        await rig.client.explain(control, service)  # noqa: WPS476


async def measure_change(rig: Rig, speaker: Speaker, seconds: float) -> float:
    """Return the processor microseconds that a changed record costs."""
    quiet = await watch(rig, seconds)
    changing = create_task(speaker.change(RATE, seconds))
    busy = await watch(rig, seconds)
    made = await changing
    spent = (busy.processor - quiet.processor) * seconds / PERCENT
    return spent / made * MICRO
