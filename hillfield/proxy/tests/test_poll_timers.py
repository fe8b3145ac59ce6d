"""Polls at the times at which dispatchers are due."""

# The test double has no annotations.
# mypy: disable-error-code="no-untyped-call, no-untyped-def, arg-type"

import asyncio
from time import monotonic

from hillfield.proxy.polltimers import PollTimers


class DueTimes:
    """Dispatcher with one due time after the other, then none."""

    def __init__(self, *dues):
        self.dues = list(dues)
        self.polled = 0
        self.polled_once = asyncio.Event()

    def record_poll(self):
        self.polled += 1
        self.polled_once.set()

    def next_due(self):
        return self.dues.pop(0) if self.dues else None


async def schedule_twice(dues):
    timers = PollTimers(DueTimes.record_poll)
    timers.schedule(dues)
    timers.schedule(dues)
    await asyncio.wait_for(dues.polled_once.wait(), timeout=5)


def test_one_due_time_is_polled_once():
    due = monotonic() + 0.01
    dues = DueTimes(due, due)
    asyncio.run(schedule_twice(dues))
    assert dues.polled == 1


def test_earlier_due_time_replaces_a_later_one():
    now = monotonic()
    dues = DueTimes(now + 60, now - 1)
    asyncio.run(schedule_twice(dues))
    assert dues.polled == 1


def test_nothing_due_sets_no_timer():
    dues = DueTimes()
    PollTimers(None).schedule(dues)
    assert not dues.polled
