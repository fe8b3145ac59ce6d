"""Scenes in which nodes are killed or frozen."""

from asyncio import sleep
from typing import Final

from hillfield.demo.layout import HostPlan
from hillfield.experiments.repair.ground import Ground
from hillfield.experiments.repair.outcomes import Outcome
from hillfield.experiments.repair.steps import (
    change_for,
    expect,
    freeze_for,
    without,
)
from hillfield.experiments.repair.store_steps import (
    answer_from_the_past,
    find_relays,
    mend_store,
)
from hillfield.experiments.repair.target_steps import (
    kill_targets,
    restart_targets,
)

FROZEN: Final = 8.0
# A relay's lease lasts 9 s.
BEYOND_LEASE: Final = 14.0
APART: Final = 4.0
LOST_DOMAIN: Final = 'domain-3'


async def freeze_node(ground: Ground) -> Outcome:
    """Freeze a node that is no relay, and wake it."""
    spare = without(ground.hosts, find_relays(ground))
    host = (spare or ground.hosts)[0]
    await freeze_for(ground, host, FROZEN)
    return Outcome(harmed=(host,))


async def freeze_relay(ground: Ground) -> Outcome:
    """Freeze a relay beyond its lease, and accept a change meanwhile.

    The store answers from the past when the relay wakes and reads anew.
    """
    relay = find_relays(ground)[0]
    ground.processes.freeze(relay.name)
    accepted = await change_for(ground, without(ground.hosts, (relay,)))
    await sleep(BEYOND_LEASE)
    await answer_from_the_past(ground)
    ground.processes.wake(relay.name)
    woken = expect(accepted.revision, (relay,))
    await sleep(APART)
    await mend_store(ground)
    return Outcome(harmed=(relay,), accepted=(accepted, woken))


async def lose_domain(ground: Ground) -> Outcome:
    """Kill all nodes and targets of a failure domain; start them again."""
    lost = ground.list_domain(LOST_DOMAIN)
    await _kill_domain(ground, lost)
    await sleep(APART)
    await _start_domain(ground, lost)
    return Outcome(harmed=lost)


async def lose_domain_and_change(ground: Ground) -> Outcome:
    """Lose a failure domain, and accept a change while it is gone."""
    lost = ground.list_domain(LOST_DOMAIN)
    others = without(ground.hosts, lost)
    await _kill_domain(ground, lost)
    accepted = await change_for(ground, others)
    await sleep(APART)
    await _start_domain(ground, lost)
    return Outcome(harmed=lost, accepted=(accepted,))


async def _kill_domain(ground: Ground, lost: tuple[HostPlan, ...]) -> None:
    for host in lost:
        ground.processes.kill(host.name)
    await kill_targets(ground, lost)


async def _start_domain(ground: Ground, lost: tuple[HostPlan, ...]) -> None:
    for host in lost:
        ground.fleet.start_node(host)
    await restart_targets(ground, lost)
