"""Timers that poll dispatchers when they are due."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from typing import Final

from hillfield.clocks import monotonic
from hillfield.routing.ports import Dispatching

# Seconds; bounds how often a dispatcher is polled whose due time has passed.
_SHORTEST: Final = 0.001


class PollTimers:
    """One timer for each dispatcher with requests that wait.

    Without it a request that waits for the end of a back-off would wait for the
    next attempt to end, or for the next tick of 0.1 s.
    """

    def __init__(self, poll: Callable[[Dispatching], None]) -> None:
        """Start without timers; `poll` schedules the dispatcher again."""
        self._poll = poll
        self._timers: dict[int, tuple[float, TimerHandle]] = {}

    def schedule(self, dispatching: Dispatching) -> None:
        """Schedule a poll for when the dispatcher is due next."""
        due = dispatching.next_due()
        if due is None:
            return
        known = self._timers.get(id(dispatching))
        if known is not None:
            if known[0] <= due:
                return
            known[1].cancel()
        timer = get_running_loop().call_later(
            max(_SHORTEST, due - monotonic()),
            self._wake,
            dispatching,
        )
        self._timers[id(dispatching)] = (due, timer)

    def _wake(self, dispatching: Dispatching) -> None:
        self._timers.pop(id(dispatching))
        self._poll(dispatching)
