"""One target after the other fails, and what the nodes make of it."""

import time
from asyncio import gather, sleep
from functools import partial
from itertools import chain
from typing import Final

from msgspec import Struct

from hillfield.emulator import Behaviour, EmulatedTarget
from hillfield.experiments.gray.events import Removal, read_removals
from hillfield.experiments.gray.ground import HOST_CLOCK, Ground
from hillfield.experiments.gray.plans import (
    SIZES,
    Fault,
    Schedule,
    find_behaviour,
    find_size,
)
from hillfield.experiments.gray.turns import take_turns

# Requests that wait at the target when it leaves rotation run a little later.
QUEUED_SECONDS: Final = 0.3


class Sighting(Struct, frozen=True):
    """Hold what became of one onset of a fault at one service.

    `detected` is the seconds from the onset to the last request that the
    target got before it was out at the nodes that sent it work (None: it never
    was), `late` the share of a healthy target's work that it got after that.
    """

    service: str
    fault: Fault
    detected: float | None
    late: float
    false_removals: tuple[Removal, ...]


async def play_faults(
    ground: Ground,
    schedule: Schedule,
    onsets: int,
) -> tuple[Sighting, ...]:
    """Let targets of both services fail, each time another one."""
    faults = tuple(Fault) * onsets
    rounds = await take_turns(
        partial(_play_fault, ground, schedule, fault, number)
        for number, fault in enumerate(faults)
    )
    return tuple(chain.from_iterable(rounds))


async def _play_fault(
    ground: Ground,
    schedule: Schedule,
    fault: Fault,
    number: int,
) -> tuple[Sighting, ...]:
    sick = tuple(
        (size.name, number % len(ground.targets[size.name])) for size in SIZES
    )
    failing = [ground.targets[name][place] for name, place in sick]
    onset = time.monotonic()
    for target in failing:
        _begin(target, find_behaviour(fault, ground.find_node(target)), onset)
    await sleep(schedule.window)
    span = _Span(fault, onset, time.monotonic())
    removals = await read_removals(ground.hosts, onset + HOST_CLOCK)
    seen = tuple(_see(ground, span, each, removals) for each in failing)
    await gather(*(ground.renew(*place) for place in sick))
    await sleep(schedule.rest)
    return seen


def _begin(target: EmulatedTarget, behaviour: Behaviour, now: float) -> None:
    # Without an announcement, so that all fail at the same moment.
    target.mood.behaviour = behaviour
    target.mood.since = now


class _Span(Struct, frozen=True):
    fault: Fault
    onset: float
    until: float


def _see(
    ground: Ground,
    span: _Span,
    target: EmulatedTarget,
    removals: tuple[Removal, ...],
) -> Sighting:
    here = [
        each for each in removals if each.service == target.settings.service
    ]
    right = [
        each
        for each in here
        if str(target.address) in each.target
        and (
            span.fault is not Fault.ONE_WAY
            or each.node == ground.find_node(target)
        )
    ]
    wrong = tuple(each for each in here if each not in right)
    if not right:
        return Sighting(target.settings.service, span.fault, None, 1, wrong)
    # Nodes that send it nothing hear of it later or never.
    out = max(each.seconds for each in right) - HOST_CLOCK
    return _time_runs(span, target, out, wrong)


def _time_runs(
    span: _Span,
    target: EmulatedTarget,
    out: float,
    wrong: tuple[Removal, ...],
) -> Sighting:
    started = [
        run.started
        for run in target.worker.runs
        if span.onset <= run.started <= span.until
    ]
    before = [each for each in started if each <= out + QUEUED_SECONDS]
    size = find_size(target.settings.service)
    rest = max(0, span.until - out - QUEUED_SECONDS)
    fair = max(1, rest * size.rate / size.targets)
    return Sighting(
        size.name,
        span.fault,
        max(before, default=span.onset) - span.onset,
        (len(started) - len(before)) / fair,
        wrong,
    )
