"""Work that waits until what has come by now has been read.

A loop that was late finds timers due before it has read anything. Who ends a
wait then takes its own lateness for the silence of others.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from typing import Final

# Passes of the loop in which what lies in a socket is read, parsed and told:
# one each for the read, the head, the body, the end and who awaits it.
LOOP_PASSES: Final = 6


def run_when_read(work: Callable[[], None]) -> None:
    """Do the work once what has come by now has been read."""
    _run_after_passes(LOOP_PASSES, work)


async def wait_until_read() -> None:
    """Return once what has come by now has been read."""
    for _ in range(LOOP_PASSES):
        await sleep(0)  # noqa: WPS476 one pass of the loop at a time


def _run_after_passes(passes: int, work: Callable[[], None]) -> None:
    if passes:
        get_running_loop().call_soon(_run_after_passes, passes - 1, work)
    else:
        work()
