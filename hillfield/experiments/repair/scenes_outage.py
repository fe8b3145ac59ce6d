"""Scenes in which the store is killed, and nodes with it."""

from collections.abc import Awaitable, Callable
from functools import partial
from itertools import chain
from typing import Final

from hillfield.demo.layout import HostPlan
from hillfield.emulator import AcceptedFact, GracefulFact
from hillfield.experiments.repair.ground import Ground
from hillfield.experiments.repair.outcomes import Outcome, Wish
from hillfield.experiments.repair.scenes_nodes import BEYOND_LEASE
from hillfield.experiments.repair.steps import (
    change_for,
    find_whole,
    freeze_for,
    in_turn,
)
from hillfield.experiments.repair.store_steps import (
    find_relays,
    kill_store,
    mend_store,
)
from hillfield.experiments.repair.wholeness import Wholeness

HALF: Final = 4

Facts = tuple[GracefulFact, ...]
End = Callable[[Ground, HostPlan], Awaitable[Facts]]


async def restart_half(ground: Ground) -> Outcome:
    """Kill the store, then restart half of the nodes one by one."""
    return await _renew_half(ground, _stop, ())


async def kill_half(ground: Ground) -> Outcome:
    """Kill the store, then kill and restart half of the nodes."""
    return await _renew_half(ground, _kill, _halve(ground))


async def freeze_relay_without_store(ground: Ground) -> Outcome:
    """Kill the store and freeze a relay beyond its lease; both come back."""
    relay = find_relays(ground)[-1]
    await kill_store(ground)
    await freeze_for(ground, relay, BEYOND_LEASE)
    whole = await find_whole(ground, 'while the store was down')
    after = await _bring_store_back(ground)
    return Outcome(
        harmed=(relay,),
        accepted=after.accepted,
        wishes=(whole,),
    )


async def _renew_half(
    ground: Ground,
    end: End,
    harmed: tuple[HostPlan, ...],
) -> Outcome:
    before = await _change_and_kill_store(ground)
    renewals = (partial(_renew, ground, host, end) for host in _halve(ground))
    renewed = await in_turn(renewals)
    whole = await find_whole(ground, 'while the store was down')
    after = await _bring_store_back(ground)
    return Outcome(
        harmed=harmed,
        shutdowns=tuple(chain.from_iterable(each[0] for each in renewed)),
        accepted=(before, *after.accepted),
        wishes=(*(each[1] for each in renewed), whole),
    )


async def _change_and_kill_store(ground: Ground) -> AcceptedFact:
    accepted = await change_for(ground, ground.hosts)
    await Wholeness(ground).wait()
    await kill_store(ground)
    return accepted


def _halve(ground: Ground) -> tuple[HostPlan, ...]:
    return ground.hosts[:HALF]


async def _renew(
    ground: Ground, host: HostPlan, end: End
) -> tuple[Facts, Wish]:
    shutdowns = await end(ground, host)
    ground.fleet.start_node(host)
    return shutdowns, await _rejoin(ground, host)


async def _stop(ground: Ground, host: HostPlan) -> Facts:
    return (await ground.stop_node(host),)


async def _kill(ground: Ground, host: HostPlan) -> Facts:
    ground.processes.kill(host.name)
    return ()


async def _bring_store_back(ground: Ground) -> Outcome:
    await mend_store(ground)
    return Outcome(accepted=(await change_for(ground, ground.hosts),))


async def _rejoin(ground: Ground, host: HostPlan) -> Wish:
    """Wish the node ready, and at that moment with the newest change."""
    name = f'{host.name} ready again with the newest change'
    seconds = await ground.fleet.await_ready(host)
    page = await ground.fleet.client.read_configuration(host.control)
    if seconds is None or page is None:
        return Wish(name, held=False, detail='not in time')
    detail = f'{seconds:.1f} s, revision {page.revision}'
    return Wish(name, page.revision >= ground.revision, detail)
