"""Scenes in which the links between the regions break."""

from asyncio import gather, sleep
from typing import Final

from hillfield.demo.layout import HostPlan
from hillfield.experiments.repair.ground import Ground
from hillfield.experiments.repair.outcomes import Outcome, Wish
from hillfield.experiments.repair.steps import change_for

# Longer than lost nodes' targets are used.
APART: Final = 16.0


async def part_one_way(ground: Ground) -> Outcome:
    """Drop what one region sends to the other, not what it receives."""
    first = ground.hosts[0].locality.region
    cut = [host for host in ground.hosts if host.locality.region == first]
    return await _part(ground, tuple(cut))


async def part_both_ways(ground: Ground) -> Outcome:
    """Drop all between the regions, accept a change, and let them merge."""
    return await _part(ground, ground.hosts)


async def _part(ground: Ground, cut: tuple[HostPlan, ...]) -> Outcome:
    for host in cut:
        ground.processes.cut_links(host.name)
    await sleep(APART)
    accepted = await change_for(ground, ground.hosts)
    seen = await _count_members(ground)
    for healed in cut:
        ground.processes.heal_links(healed.name)
    note = Wish('members seen while apart', held=True, detail=str(seen))
    return Outcome(accepted=(accepted,), wishes=(note,))


async def _count_members(ground: Ground) -> list[int]:
    client = ground.fleet.client
    pages = await gather(
        *(client.read_members(host.control) for host in ground.hosts),
    )
    return [
        sum(member.alive for member in page.members) for page in pages if page
    ]
