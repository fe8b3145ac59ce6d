"""Delay work until the data that has arrived by now has been read.

An event loop that was late runs due timers before it reads its sockets. A
timer that ends a wait then mistakes the loop's own lateness for a peer that
sent nothing.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from typing import Final

# Passes of the loop in which data in a socket is read, parsed and delivered:
# one each for the read, the head, the body, the end and the awaiting task.
LOOP_PASSES: Final = 6


def run_after_pending_reads(work: Callable[[], None]) -> None:
    """Run work once the data that has arrived by now has been read."""
    _run_after_passes(LOOP_PASSES, work)


async def wait_for_pending_reads() -> None:
    """Return once the data that has arrived by now has been read."""
    for _ in range(LOOP_PASSES):
        await sleep(0)  # noqa: WPS476 one pass of the loop at a time


def _run_after_passes(passes: int, work: Callable[[], None]) -> None:
    if passes:
        get_running_loop().call_soon(_run_after_passes, passes - 1, work)
    else:
        work()
