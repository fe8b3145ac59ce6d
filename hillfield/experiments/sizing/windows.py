"""What nodes use while nothing or one thing happens to a rig."""

import time
from asyncio import gather, sleep
from collections.abc import Callable
from statistics import median
from typing import Final

from msgspec import Struct

from hillfield.experiments.sizing.readings import (
    Usage,
    read_memory,
    read_usage,
    read_usage_after,
)
from hillfield.experiments.sizing.rigs import OPERATOR, Rig

PERCENT: Final = 100
MEGABYTE: Final = 1e6


class Window(Struct, frozen=True):
    """Hold the median node of a window.

    `processor` is percent of a core, `received` and `sent` bytes a second,
    `memory` megabytes that don't come from files, `store` calls a second of
    all nodes together.
    """

    processor: float
    received: float
    sent: float
    memory: float
    store: float


async def watch(rig: Rig, seconds: float) -> Window:
    """Measure all nodes over some seconds."""
    started = time.monotonic()
    calls = await count_calls(rig)
    hosts = rig.running()
    before = await gather(*(read_usage(rig, host) for host in hosts))
    await sleep(seconds)
    after = await gather(*(read_usage_after(rig, host) for host in hosts))
    made = await count_calls(rig) - calls
    pairs = tuple(zip(before, after, strict=True))
    return Window(
        processor=PERCENT * _rate(pairs, _read_processor),
        received=_rate(pairs, _read_received),
        sent=_rate(pairs, _read_sent),
        memory=find_memory(rig),
        store=made / (time.monotonic() - started),
    )


def find_memory(rig: Rig) -> float:
    """Return the median node's megabytes that don't come from files."""
    held = (read_memory(pid).anonymous for pid in rig.pids.values())
    return median(held) / MEGABYTE


async def count_calls(rig: Rig) -> int:
    """Return how many calls the nodes have made to the store."""
    measurement = await rig.read_calls()
    return sum(
        total.calls for total in measurement.totals if total.client != OPERATOR
    )


def _rate(
    pairs: tuple[tuple[Usage, Usage], ...],
    read: Callable[[Usage], float],
) -> float:
    return median(
        (read(after) - read(before)) / (after.at - before.at)
        for before, after in pairs
    )


def _read_processor(usage: Usage) -> float:
    return usage.processor


def _read_received(usage: Usage) -> float:
    return usage.received


def _read_sent(usage: Usage) -> float:
    return usage.sent
