"""Timer for a request's deadline."""

from asyncio import get_running_loop
from collections.abc import Callable

from hillfield.clocks import LATENESS_TOLERANCE, monotonic
from hillfield.timers import run_after_pending_reads


class Deadline:
    """Timer that ends a request; `expires` is in monotonic seconds.

    If the loop is late, it reads first: the answer may have arrived already.
    """

    def __init__(self, expires: float, end: Callable[[], None]) -> None:
        """Start the timer."""
        self._expires = expires
        self._end = end
        self._timer = get_running_loop().call_later(
            expires - monotonic(),
            self._reach,
        )

    def cancel(self) -> None:
        """Cancel the timer, and release its reference to the request."""
        self._timer.cancel()
        self._end = _end_nothing

    def _reach(self) -> None:
        if monotonic() - self._expires > LATENESS_TOLERANCE:
            run_after_pending_reads(self._end_now)
        else:
            self._end_now()

    def _end_now(self) -> None:
        self._end()


def _end_nothing() -> None:
    """Do nothing: the timer was cancelled."""
