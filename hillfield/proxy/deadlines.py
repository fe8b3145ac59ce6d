"""Deadlines of requests, and of the drain of a server."""

from asyncio import get_running_loop
from collections.abc import Callable

from msgspec import Struct

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


class DrainLimits(Struct, frozen=True):
    """Moments of a drain, in monotonic seconds.

    Idle connections end at `last_read`; requests that still run are ended at
    `ends`.
    """

    last_read: float
    ends: float

    def may_accept(self, now: float, expires: float) -> bool:
        """Return whether a request that has arrived now may run.

        One that comes after the last read, on a connection that was not idle
        then, runs only if its own deadline ends it before the drain does.

        >>> limits = DrainLimits(last_read=2, ends=5)
        >>> limits.may_accept(1, expires=9), limits.may_accept(3, expires=9)
        (True, False)
        >>> limits.may_accept(3, expires=4)
        True
        """
        return now <= self.last_read or expires <= self.ends

    def may_send(self, now: float, expires: float, aim: float) -> bool:
        """Return whether an attempt may begin now.

        It must have `aim`, the seconds in which an answer is wanted, or all
        of the request's own time. An attempt that the drain would end leaves
        its caller in doubt; unsent, the request has certainly not run.

        >>> limits = DrainLimits(last_read=2, ends=5)
        >>> limits.may_send(4, 9, 0.5), limits.may_send(4.8, 9, 0.5)
        (True, False)
        """
        return expires <= self.ends or now + aim <= self.ends


def _end_nothing() -> None:
    """Do nothing: the timer was cancelled."""
