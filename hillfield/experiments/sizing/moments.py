"""Change the membership of a rig and time until every node knows."""

import time
from asyncio import gather, sleep
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from hillfield.demo.layout import HostPlan
from hillfield.emulator.heartbeat import Announcement, Heartbeat
from hillfield.experiments.sizing.disturbing import kill_node
from hillfield.experiments.sizing.rigs import WAIT, Rig
from hillfield.model import Address, TargetState

POLL: Final = 0.05
SERVICE: Final = 'drained'
PORT: Final = 2500
SLOTS: Final = 8


async def lose_node(rig: Rig, turn: int) -> float:
    """Kill a node; return when all others have dropped it."""
    host = _choose(rig, turn)
    kill_node(rig, host)
    return await _await(partial(_all_know, rig))


async def leave_node(rig: Rig, turn: int) -> float:
    """Ask a node to end; return when all others have dropped it."""
    host = _choose(rig, turn)
    rig.pids.pop(host.name)
    rig.processes.terminate(host.name)
    return await _await(partial(_all_know, rig))


async def join_node(rig: Rig, turn: int) -> float:
    """Start a node again; return when it is ready and known to all.

    That includes the start of its interpreter.
    """
    host = _choose(rig, turn)
    while not rig.processes.has_ended(host.name):
        await sleep(POLL)
    rig.start_node(host)
    return await _await(rig.is_complete)


async def drain_target(rig: Rig, turn: int) -> float:
    """Have a target say that it drains; return when all nodes know."""
    host = _choose(rig, turn)
    await _await(partial(_keep_ready, rig, host))
    await _announce(host, TargetState.DRAINING)
    return await _await(partial(_all_see, rig, host, TargetState.DRAINING))


async def _keep_ready(rig: Rig, host: HostPlan) -> bool:
    """Repeat the announcement, as a target does, until all know it."""
    await _announce(host, TargetState.READY)
    return await _all_see(rig, host, TargetState.READY)


def _choose(rig: Rig, turn: int) -> HostPlan:
    """Return another host each turn, and none of the seeds."""
    return rig.layout.hosts[-1 - turn]


async def _await(condition: Callable[[], Awaitable[bool]]) -> float:
    started = time.monotonic()
    while not await condition():
        if time.monotonic() - started > WAIT:
            raise TimeoutError('not known at every node')
        await sleep(POLL)
    return time.monotonic() - started


async def _all_know(rig: Rig) -> bool:
    alive = await gather(*map(rig.count_alive, rig.running()))
    return set(alive) == {len(rig.pids)}


async def _all_see(rig: Rig, host: HostPlan, state: TargetState) -> bool:
    seen = await gather(
        *(_find_state(rig, node, host) for node in rig.running()),
    )
    return set(seen) == {state}


async def _find_state(rig: Rig, node: HostPlan, host: HostPlan) -> str:
    page = await rig.client.read_targets(node.control)
    address = str(Address(host.callers.ip, PORT))
    known = page.known if page else ()
    states = (each.state for each in known if each.address == address)
    return next(states, '')


async def _announce(host: HostPlan, state: TargetState) -> None:
    heartbeat = Heartbeat(host.control)
    address = str(Address(host.callers.ip, PORT))
    announcement = Announcement(
        SERVICE,
        address,
        1,
        SLOTS,
        SLOTS,
        1,
        state,
        0,
    )
    await heartbeat.announce(announcement)
    heartbeat.close()
