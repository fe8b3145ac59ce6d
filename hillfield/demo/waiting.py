"""Bounded waiting for a condition."""

import time
from asyncio import sleep
from collections.abc import Awaitable, Callable
from typing import Final

POLL: Final = 0.1

Condition = Callable[[], Awaitable[bool]]


async def wait_until(condition: Condition, seconds: float) -> float | None:
    """Return the seconds until it held, None when it did not in time."""
    start = time.monotonic()
    while True:
        if await condition():
            return time.monotonic() - start
        if time.monotonic() - start > seconds:
            return None
        await sleep(POLL)
