"""The moment at which a request has to end."""

from asyncio import get_running_loop
from collections.abc import Callable

from hillfield.clocks import TOLERATED, monotonic
from hillfield.timers import run_when_read


class Deadline:
    """End a request in time; `expires` is in monotonic seconds.

    A loop that comes late reads first: the answer may lie there.
    """

    def __init__(self, expires: float, end: Callable[[], None]) -> None:
        """Start the time."""
        self._expires = expires
        self._end = end
        self._timer = get_running_loop().call_later(
            expires - monotonic(),
            self._reach,
        )

    def cancel(self) -> None:
        """End nothing, and hold what would have been ended no longer."""
        self._timer.cancel()
        self._end = _end_nothing

    def _reach(self) -> None:
        if monotonic() - self._expires > TOLERATED:
            run_when_read(self._end_now)
        else:
            self._end_now()

    def _end_now(self) -> None:
        self._end()


def _end_nothing() -> None:
    """End nothing: it was cancelled."""
