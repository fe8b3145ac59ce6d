"""Scenes in which targets are frozen, killed or restarted."""

from asyncio import sleep
from functools import partial
from typing import Final

import msgspec
from tornado.httpclient import HTTPClientError

from hillfield.demo.fleet import PlacedTarget
from hillfield.demo.layout import HostPlan
from hillfield.demo.waiting import wait_until
from hillfield.emulator import TargetRecord
from hillfield.emulator.client import CurlClient
from hillfield.experiments.processes import Program
from hillfield.experiments.repair.ground import MEDIAN, Ground
from hillfield.experiments.repair.outcomes import Outcome
from hillfield.experiments.repair.steps import in_turn
from hillfield.experiments.repair.target_steps import (
    kill_targets,
    restart_target,
    restart_targets,
)

SERVICE: Final = 'settlement'
NAME: Final = 'frozen-target'
ROUNDS: Final = 2
# Seconds after which new targets are known and used.
KNOWN: Final = 3.0
WARM: Final = 4.0
FROZEN: Final = 6.0
AWAKE: Final = 3.0
TOLD: Final = 10.0


async def freeze_target(ground: Ground) -> Outcome:
    """Freeze a target's process while requests are in flight there."""
    host = ground.hosts[0]
    ip = host.callers.ip
    ground.processes.start(
        Program(
            NAME,
            (
                'emulator',
                'target',
                f'--service={SERVICE}',
                f'--listen={ip}:0',
                f'--control={host.control}',
                f'--set=median={MEDIAN}',
            ),
        ),
    )
    await wait_until(_Listed(ground), TOLD)
    await sleep(WARM)
    ground.processes.freeze(NAME)
    await sleep(FROZEN)
    ground.processes.wake(NAME)
    await sleep(AWAKE)
    record = await _read_record(ground)
    ground.processes.terminate(NAME)
    return Outcome(records=(record,))


async def kill_half_targets(ground: Ground) -> Outcome:
    """Kill half of all targets, then the others, again and again.

    A kill that meets no capture in flight would show nothing.
    """
    middle = len(ground.hosts) // 2
    halves = (ground.hosts[:middle], ground.hosts[middle:])
    await in_turn(
        partial(_kill_and_restart, ground, half) for half in halves * ROUNDS
    )
    return Outcome()


async def _kill_and_restart(
    ground: Ground,
    hosts: tuple[HostPlan, ...],
) -> None:
    await kill_targets(ground, hosts)
    await sleep(1)
    await restart_targets(ground, hosts)
    await sleep(KNOWN)


async def restart_two(ground: Ground) -> Outcome:
    """Restart targets at once, at their addresses, under load."""
    await in_turn(
        partial(_restart, ground, placed)
        for placed in ground.fleet.find_targets(SERVICE)[:2]
    )
    return Outcome()


async def _restart(ground: Ground, placed: PlacedTarget) -> None:
    await restart_target(ground, placed)
    await sleep(1)


class _Listed:
    def __init__(self, ground: Ground) -> None:
        self._ground = ground

    async def __call__(self) -> bool:
        return bool(_find_address(self._ground))


def _find_address(ground: Ground) -> str:
    lines = ground.processes.read_tail(NAME).splitlines()
    return lines[0] if lines else ''


async def _read_record(ground: Ground) -> TargetRecord:
    client = CurlClient(force_instance=True)
    try:
        answer = await client.fetch(f'http://{_find_address(ground)}/ran')
    except HTTPClientError as error:
        message = f'the woken target does not tell what ran: {error}'
        raise TimeoutError(message) from error
    finally:
        client.close()
    return msgspec.json.decode(answer.body, type=TargetRecord)
