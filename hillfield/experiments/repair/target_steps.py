"""Lives of the targets that run in the experiment's own process."""

from asyncio import gather

from msgspec.structs import replace

from hillfield.demo.fleet import PlacedTarget
from hillfield.demo.layout import HostPlan
from hillfield.emulator import EmulatedTarget
from hillfield.experiments.repair.ground import Ground


async def kill_targets(ground: Ground, hosts: tuple[HostPlan, ...]) -> None:
    """End all targets of these hosts at once, as a crash does."""
    placed = _list_placed(ground, hosts)
    await gather(*(each.target.stop() for each in placed))


async def restart_targets(
    ground: Ground,
    hosts: tuple[HostPlan, ...],
) -> None:
    """Start all targets of these hosts anew."""
    placed = _list_placed(ground, hosts)
    await gather(*(restart_target(ground, each) for each in placed))


async def restart_target(ground: Ground, placed: PlacedTarget) -> None:
    """Start a target anew at its address, as another incarnation."""
    earlier = placed.target
    await earlier.stop()
    settings = replace(earlier.settings, listen=earlier.address)
    later = PlacedTarget(placed.host, EmulatedTarget(settings))
    ground.former.append(placed)
    targets = ground.fleet.targets
    targets[targets.index(placed)] = later
    await later.target.start()


def _list_placed(
    ground: Ground,
    hosts: tuple[HostPlan, ...],
) -> tuple[PlacedTarget, ...]:
    return tuple(
        placed for placed in ground.fleet.targets if placed.host in hosts
    )
