"""Test of polls at the times that dispatchers name."""

# The double is typed by use only.
# mypy: disable-error-code="no-untyped-call, no-untyped-def, arg-type"

import asyncio
from time import monotonic

from hillfield.proxy.polltimers import PollTimers


class Dues:
    """Name one time after the other, then none."""

    def __init__(self, *dues):
        self.dues = list(dues)
        self.polled = 0
        self.polled_once = asyncio.Event()

    def note_polled(self):
        self.polled += 1
        self.polled_once.set()

    def next_due(self):
        return self.dues.pop(0) if self.dues else None


async def schedule_twice(dues):
    timers = PollTimers(Dues.note_polled)
    timers.schedule(dues)
    timers.schedule(dues)
    await asyncio.wait_for(dues.polled_once.wait(), timeout=5)


def test_polls_once_for_one_time_named_twice():
    due = monotonic() + 0.01
    dues = Dues(due, due)
    asyncio.run(schedule_twice(dues))
    assert dues.polled == 1


def test_earlier_time_takes_the_place_of_a_later_one():
    now = monotonic()
    dues = Dues(now + 60, now - 1)
    asyncio.run(schedule_twice(dues))
    assert dues.polled == 1


def test_nothing_due_sets_no_timer():
    dues = Dues()
    PollTimers(None).schedule(dues)
    assert not dues.polled
