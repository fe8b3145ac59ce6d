"""One timer for all that is done at times."""

import asyncio
import gc
from typing import Any
from weakref import ref

from pytest import approx

from hillfield.timers import find_timer
from hillfield.timers.shared import STEP


class CountingLoop(asyncio.SelectorEventLoop):
    """Count the timers that were set."""

    def __init__(self):
        super().__init__()
        self.timers = 0

    def call_at(self, *parts: Any, **more: Any) -> Any:  # type: ignore[override]
        self.timers += 1
        return super().call_at(*parts, **more)


class Kept:
    """Be held by work that is never done."""

    def work(self):
        """Do nothing."""


def do_nothing():
    """Do nothing."""


def run(story):
    """Run a coroutine; return the loop that it ran in."""
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(story())
        return runner.get_loop()


def test_work_is_done_again_until_cancelled():
    done = []

    async def story():
        timer = find_timer()
        ticking = timer.every(STEP, lambda: done.append(1))
        await timer.pause(3.5 * STEP)
        ticking.cancel()
        await asyncio.sleep(2 * STEP)

    run(story)
    assert 3 <= len(done) <= 4


def test_what_is_due_in_one_step_takes_one_timer():
    async def story():
        timer = find_timer()
        for _ in range(50):
            timer.after(0.7 * STEP, do_nothing)
            timer.every(STEP, do_nothing)
        await timer.pause(2.5 * STEP)

    assert run(story).timers <= 6


def test_work_done_once_is_never_early():
    moments = []

    async def story():
        loop = asyncio.get_running_loop()
        begun = loop.time()
        timer = find_timer()
        timer.after(0.13, lambda: moments.append(loop.time() - begun))
        await timer.pause(0.4)

    run(story)
    assert moments[0] == approx(0.23, abs=0.1)


def test_an_error_does_not_end_the_others():
    done = []
    heard = []

    async def story():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, told: heard.append(told))
        timer = find_timer()
        timer.every(STEP, lambda: done.append(1 / len(heard)))
        await timer.pause(2.5 * STEP)

    run(story)
    assert heard
    assert done


def test_a_pause_can_be_cancelled():
    async def story():
        paused = asyncio.create_task(find_timer().pause(60))
        await asyncio.sleep(0)
        paused.cancel()
        await asyncio.gather(paused, return_exceptions=True)
        assert paused.cancelled()

    run(story)


def leave_pending():
    """Run a loop to its end; return what its pending work holds, weakly."""
    kept = Kept()

    async def story():
        find_timer().after(60, kept.work)
        await asyncio.sleep(0)

    asyncio.run(story())
    return ref(kept)


def test_a_loop_that_has_ended_is_not_kept():
    """Also where no collector looks: nodes freeze what they begin with."""
    gc.disable()
    left = leave_pending()
    gc.enable()
    assert left() is None
