"""Running one emulated target as a process, until a signal ends it."""

from asyncio import Event, get_running_loop, run
from collections.abc import Callable
from signal import SIGINT, SIGTERM
from typing import Final

from hillfield.emulator.target import EmulatedTarget
from hillfield.emulator.target_settings import TargetSettings

# Seconds between announcing that it leaves and closing the socket: other
# nodes need about two to hear of it.
DRAIN_SECONDS: Final = 2.5


def run_target(
    settings: TargetSettings,
    report: Callable[[str], None],
) -> None:
    """Serve until SIGTERM or SIGINT, then drain; `report` gets the address."""
    run(_serve(settings, report))


async def _serve(
    settings: TargetSettings,
    report: Callable[[str], None],
) -> None:
    target = EmulatedTarget(settings)
    await target.start()
    report(str(target.address))
    await wait_for_signal()
    await target.drain(DRAIN_SECONDS)


async def wait_for_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    told = Event()
    loop = get_running_loop()
    loop.add_signal_handler(SIGTERM, told.set)
    loop.add_signal_handler(SIGINT, told.set)
    await told.wait()
