"""Scenes of the demo that need no operator: gray, leaving, restart."""

import time
from asyncio import gather, sleep
from collections.abc import Callable
from functools import partial
from typing import Final

from msgspec import Struct

from hillfield.control.pages import TargetReport
from hillfield.demo.fleet import LocalFleet, PlacedTarget
from hillfield.demo.layout import HostPlan
from hillfield.demo.waiting import wait_until
from hillfield.demo.witness import Witness, find_report
from hillfield.emulator import (
    AcceptedFact,
    Behaviour,
    EmulatedTarget,
    GracefulFact,
)

SCENE_SECONDS: Final = 10.0
WARM_UP: Final = 2.0
LEAVE_SECONDS: Final = 2.5
# Slow and mostly wrong, while health and load claim that all is well.
SLOWER: Final = 5
WRONG: Final = 0.7
GRAY: Final = Behaviour(slow=SLOWER, wrong=WRONG, healthy=True, load=0)

Judge = Callable[[TargetReport], bool]


class Scene(Struct, frozen=True):
    """Tell what was done and how long it took; None: not in time.

    `notes` are what the nodes themselves say of it, a line each.
    """

    name: str
    seconds: float | None
    detail: str = ''
    notes: tuple[str, ...] = ()
    accepted: tuple[AcceptedFact, ...] = ()
    shutdowns: tuple[GracefulFact, ...] = ()


async def await_targets(fleet: LocalFleet) -> Scene:
    """Wait until each node knows all targets and takes work."""
    seconds = await wait_until(partial(_knows_all, fleet), SCENE_SECONDS)
    return Scene('every node knows all targets', seconds)


async def warm_up() -> Scene:
    """Let traffic flow for a while."""
    await sleep(WARM_UP)
    return Scene('traffic flows', WARM_UP)


async def turn_gray(fleet: LocalFleet, placed: PlacedTarget) -> Scene:
    """Make a target gray and wait until its failure domain ejects it."""
    target = placed.target
    witness = Witness(fleet, placed)
    await target.behave(GRAY)
    before = len(target.worker.runs)
    seconds = await wait_until(
        partial(_is_seen, fleet, placed, _is_out),
        SCENE_SECONDS,
    )
    ran = len(target.worker.runs) - before
    return Scene(
        'gray target ejected',
        seconds,
        f'{target.address} ran {ran} more; it claimed to be well',
        await witness.tell(),
    )


async def turn_well(fleet: LocalFleet, placed: PlacedTarget) -> Scene:
    """Make a target well again and wait until its domain uses it."""
    witness = Witness(fleet, placed)
    await placed.target.behave(Behaviour())
    seconds = await wait_until(
        partial(_is_seen, fleet, placed, _is_in),
        2 * SCENE_SECONDS,
    )
    return Scene('target restored', seconds, notes=await witness.tell())


async def leave(target: EmulatedTarget) -> Scene:
    """Let a target leave: it announces, finishes its work, ends."""
    started = time.monotonic()
    before = len(target.worker.runs)
    await target.drain(LEAVE_SECONDS)
    ended = time.monotonic()
    ran = len(target.worker.runs) - before
    return Scene(
        'target left',
        ended - started,
        f'{target.address} began {ran} more requests while it left',
        shutdowns=(GracefulFact('', started, ended),),
    )


async def restart(fleet: LocalFleet, host: HostPlan) -> Scene:
    """Stop a node gracefully and start it again."""
    started = time.monotonic()
    stopped = await fleet.stop_node(host)
    ended = time.monotonic()
    fleet.start_node(host)
    ready = await fleet.await_ready(host)
    known = await wait_until(partial(_knows_all, fleet), SCENE_SECONDS)
    ended_in = _show_seconds(stopped)
    in_time = None not in {stopped, ready, known}
    return Scene(
        'node restarted',
        time.monotonic() - started if in_time else None,
        f'{host.name} ended {ended_in} after it was asked to',
        shutdowns=(GracefulFact(str(host.callers), started, ended),),
    )


async def _knows_all(fleet: LocalFleet) -> bool:
    wanted = sum(placed.target.is_running for placed in fleet.targets)
    pages = await gather(
        *(
            fleet.client.read_targets(host.control)
            for host in fleet.layout.hosts
        ),
    )
    return all(page and len(page.known) >= wanted for page in pages)


async def _is_seen(
    fleet: LocalFleet,
    placed: PlacedTarget,
    judge: Judge,
) -> bool:
    # Work stays in its failure domain while that has capacity, so that the
    # nodes there are the ones that get to know the target.
    report = await find_report(fleet, placed)
    return report is not None and judge(report)


def _is_out(report: TargetReport) -> bool:
    return not report.in_rotation


def _is_in(report: TargetReport) -> bool:
    return report.in_rotation


def _show_seconds(seconds: float | None) -> str:
    return 'not in time' if seconds is None else f'{seconds:.1f} s'
