"""Test the timer that the work of a loop shares."""

import asyncio
import gc
from typing import Any
from weakref import ref

from pytest import approx

from hillfield.timers import get_shared_timer
from hillfield.timers.shared import STEP_SECONDS


class CountingLoop(asyncio.SelectorEventLoop):
    """Count the timers that are set."""

    def __init__(self):
        super().__init__()
        self.timers = 0

    def call_at(self, *parts: Any, **more: Any) -> Any:  # type: ignore[override]
        self.timers += 1
        return super().call_at(*parts, **more)


class WorkOwner:
    """Own work that never runs."""

    def work(self):
        """Do nothing."""


def do_nothing():
    """Do nothing."""


def run(scenario):
    """Run a coroutine; return the loop that it ran in."""
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(scenario())
        return runner.get_loop()


def test_periodic_work_runs_until_cancelled():
    runs = []

    async def scenario():
        timer = get_shared_timer()
        periodic = timer.every(STEP_SECONDS, lambda: runs.append(1))
        await timer.sleep_for(3.5 * STEP_SECONDS)
        periodic.cancel()
        await asyncio.sleep(2 * STEP_SECONDS)

    run(scenario)
    assert 3 <= len(runs) <= 4


def test_work_due_in_one_step_takes_one_timer():
    async def scenario():
        timer = get_shared_timer()
        for _ in range(50):
            timer.after(0.7 * STEP_SECONDS, do_nothing)
            timer.every(STEP_SECONDS, do_nothing)
        await timer.sleep_for(2.5 * STEP_SECONDS)

    assert run(scenario).timers <= 6


def test_delayed_work_is_never_early():
    durations = []

    async def scenario():
        loop = asyncio.get_running_loop()
        started = loop.time()
        timer = get_shared_timer()
        timer.after(0.13, lambda: durations.append(loop.time() - started))
        await timer.sleep_for(0.4)

    run(scenario)
    assert durations[0] == approx(0.23, abs=0.1)


def test_error_does_not_stop_other_work():
    runs = []
    errors = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        timer = get_shared_timer()
        timer.every(STEP_SECONDS, lambda: runs.append(1 / len(errors)))
        await timer.sleep_for(2.5 * STEP_SECONDS)

    run(scenario)
    assert errors
    assert runs


def test_sleep_can_be_cancelled():
    async def scenario():
        sleeping = asyncio.create_task(get_shared_timer().sleep_for(60))
        await asyncio.sleep(0)
        sleeping.cancel()
        await asyncio.gather(sleeping, return_exceptions=True)
        assert sleeping.cancelled()

    run(scenario)


def leave_pending():
    """Run a loop to its end; return a weak reference from its work."""
    owner = WorkOwner()

    async def scenario():
        get_shared_timer().after(60, owner.work)
        await asyncio.sleep(0)

    asyncio.run(scenario())
    return ref(owner)


def test_closed_loop_is_not_kept_alive():
    """Holds without the garbage collector: nodes freeze their first objects."""
    gc.disable()
    owner = leave_pending()
    gc.enable()
    assert owner() is None
