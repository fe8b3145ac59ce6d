"""One timer of a loop that runs all that is due, in steps of a tenth second.

On a small host a wake-up costs 80 to 100 microseconds of processor before
anything is done in it. What may be late by a step waits for the others that are due then.
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

# Seconds between two steps: the shortest pause of what ticks.
STEP: Final = 0.1
# Part of a step by which a due time may lie behind it.
STEP_TOLERANCE: Final = 0.01

Work = Callable[[], None]


class Appointment:
    """Hold work that is due at a step; `period` is in steps (0: once)."""

    __slots__ = ('_work', 'period')

    def __init__(self, work: Work, period: int = 0) -> None:
        """Take the work."""
        self._work: Work | None = work
        self.period = period

    @property
    def is_active(self) -> bool:
        """Tell whether it has not been cancelled."""
        return self._work is not None

    def cancel(self) -> None:
        """Do it no more."""
        self._work = None

    def run(self) -> None:
        """Do it now, unless it was cancelled."""
        if self._work is not None:
            self._work()


class SharedTimer:
    """Keep the appointments of one loop; errors go to its handler."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        """Count steps from now."""
        self._loop_reference = ref(loop)
        self._origin = loop.time()
        self._queue: list[tuple[int, int, Appointment]] = []
        self._count = 0
        # Weak: the loop holds the handle, and the handle this timer, so that
        # both go with the loop.
        self._armed: ReferenceType[TimerHandle] | None = None
        self._next = 0

    def belongs_to(self, loop: AbstractEventLoop) -> bool:
        """Tell whether it keeps the appointments of this loop."""
        return self._loop_reference() is loop

    def every(self, seconds: float, work: Work) -> Appointment:
        """Do work again and again, first after that time."""
        period = max(1, round(seconds / STEP))
        return self._add(self._now() + period, Appointment(work, period))

    def after(self, seconds: float, work: Work) -> Appointment:
        """Do work once, at the first step that is no sooner."""
        passed = get_running_loop().time() - self._origin
        due = (passed + seconds) / STEP
        return self._add(ceil(due - STEP_TOLERANCE), Appointment(work))

    async def pause(self, seconds: float) -> None:
        """Return at the first step that is no sooner."""
        ended = get_running_loop().create_future()
        self.after(seconds, partial(_resolve, ended))
        await ended

    def _now(self) -> int:
        passed = get_running_loop().time() - self._origin
        return floor(passed / STEP + STEP_TOLERANCE)

    def _add(self, step: int, appointment: Appointment) -> Appointment:
        self._count += 1
        heappush(self._queue, (step, self._count, appointment))
        if self._armed is None or step < self._next:
            self._arm()
        return appointment

    def _arm(self) -> None:
        armed = None if self._armed is None else self._armed()
        if armed is not None:
            armed.cancel()
        self._next = self._queue[0][0]
        due = self._origin + self._next * STEP
        self._armed = ref(get_running_loop().call_at(due, self._run_due))

    def _run_due(self) -> None:
        self._armed = None
        now = self._now()
        due: list[Appointment] = []
        while self._queue and self._queue[0][0] <= now:
            due.append(heappop(self._queue)[-1])
        for appointment in due:
            if appointment.is_active:
                self._run_call(appointment)
            if appointment.is_active and appointment.period:
                self._add(now + appointment.period, appointment)
        if self._queue and self._armed is None:
            self._arm()

    def _run_call(self, appointment: Appointment) -> None:
        try:
            appointment.run()
        except Exception as error:
            get_running_loop().call_exception_handler(
                {'message': 'shared timer: work failed', 'exception': error},
            )


# By the loop's identity: a timer lives as long as its appointments, and no
# loop that has ended is kept.
_TIMERS: Final[WeakValueDictionary[int, SharedTimer]] = WeakValueDictionary()


def find_timer() -> SharedTimer:
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
