"""A timer shared by the work of a loop, in steps of a tenth of a second.

On a small host a wake-up costs 80 to 100 microseconds of processor time before
any work is done in it. Work that may be late by a step therefore runs together
with the rest that is due at that step.
"""

from asyncio import (
    AbstractEventLoop,
    Future,
    TimerHandle,
    get_running_loop,
)
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from math import ceil, floor
from typing import Final
from weakref import ReferenceType, WeakValueDictionary, ref

# Seconds between two steps, the shortest period of periodic work.
STEP_SECONDS: Final = 0.1
# Part of a step by which a due time may be past it, for rounding errors.
STEP_TOLERANCE: Final = 0.01

Work = Callable[[], None]


class ScheduledCall:
    """Hold work that is due at a step; `period` is in steps (0: once)."""

    __slots__ = ('_work', 'period')

    def __init__(self, work: Work, period: int = 0) -> None:
        """Hold work that has not been cancelled."""
        self._work: Work | None = work
        self.period = period

    @property
    def is_active(self) -> bool:
        """Return whether the work has not been cancelled."""
        return self._work is not None

    def cancel(self) -> None:
        """Cancel the work."""
        self._work = None

    def run(self) -> None:
        """Run the work now, unless it was cancelled."""
        if self._work is not None:
            self._work()


class SharedTimer:
    """Run the scheduled work of one loop; errors go to its handler."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        """Count steps from now."""
        self._loop_reference = ref(loop)
        self._started = loop.time()
        self._queue: list[tuple[int, int, ScheduledCall]] = []
        self._sequence = 0
        # Weak: the loop holds the handle, which holds this timer, so that both
        # are freed with the loop.
        self._timer_handle: ReferenceType[TimerHandle] | None = None
        self._next_step = 0

    def belongs_to(self, loop: AbstractEventLoop) -> bool:
        """Return whether this is the timer of that loop."""
        return self._loop_reference() is loop

    def every(self, seconds: float, work: Work) -> ScheduledCall:
        """Run work periodically, first after one period."""
        period = max(1, round(seconds / STEP_SECONDS))
        return self._add(
            self._count_steps() + period, ScheduledCall(work, period)
        )

    def after(self, seconds: float, work: Work) -> ScheduledCall:
        """Run work once, at the first step that is not earlier."""
        passed = get_running_loop().time() - self._started
        due = (passed + seconds) / STEP_SECONDS
        return self._add(ceil(due - STEP_TOLERANCE), ScheduledCall(work))

    async def sleep_for(self, seconds: float) -> None:
        """Return at the first step that is not earlier."""
        ended = get_running_loop().create_future()
        self.after(seconds, partial(_resolve, ended))
        await ended

    def _count_steps(self) -> int:
        passed = get_running_loop().time() - self._started
        return floor(passed / STEP_SECONDS + STEP_TOLERANCE)

    def _add(self, step: int, scheduled: ScheduledCall) -> ScheduledCall:
        self._sequence += 1
        heappush(self._queue, (step, self._sequence, scheduled))
        if self._timer_handle is None or step < self._next_step:
            self._set_timer()
        return scheduled

    def _set_timer(self) -> None:
        timer_handle = (
            None if self._timer_handle is None else self._timer_handle()
        )
        if timer_handle is not None:
            timer_handle.cancel()
        self._next_step = self._queue[0][0]
        due = self._started + self._next_step * STEP_SECONDS
        self._timer_handle = ref(get_running_loop().call_at(due, self._run_due))

    def _run_due(self) -> None:
        self._timer_handle = None
        now = self._count_steps()
        due: list[ScheduledCall] = []
        while self._queue and self._queue[0][0] <= now:
            due.append(heappop(self._queue)[-1])
        for scheduled in due:
            if scheduled.is_active:
                self._run_call(scheduled)
            if scheduled.is_active and scheduled.period:
                self._add(now + scheduled.period, scheduled)
        if self._queue and self._timer_handle is None:
            self._set_timer()

    def _run_call(self, scheduled: ScheduledCall) -> None:
        try:
            scheduled.run()
        except Exception as error:
            get_running_loop().call_exception_handler(
                {'message': 'shared timer: work failed', 'exception': error},
            )


# Keyed by the loop's identity. A timer lives as long as its scheduled work, so
# that no closed loop is kept alive.
_TIMERS: Final[WeakValueDictionary[int, SharedTimer]] = WeakValueDictionary()


def get_shared_timer() -> SharedTimer:
    """Return the timer of the running loop."""
    loop = get_running_loop()
    timer = _TIMERS.get(id(loop))
    if timer is None or not timer.belongs_to(loop):
        timer = SharedTimer(loop)
        _TIMERS[id(loop)] = timer
    return timer


def _resolve(ended: Future[None]) -> None:
    if not ended.done():
        ended.set_result(None)
