"""Estimates of how long a request would wait."""

from hillfield.routing.departures import MINIMUM_DEPARTURES, DepartureIntervals

# Seconds between departures, and of one pause of the node.
USUAL = 0.008
PAUSE = 0.3
DEADLINE = 1.0
POSITION = 35


def depart(intervals, count, now):
    for _ in range(count):
        now += USUAL
        intervals.record_departure(now, waiting=True)
    return now


def test_one_pause_does_not_refuse_a_queue_that_moves_again():
    # A pause of 0.3 s was counted for each waiting request, and requests were
    # refused.
    intervals = DepartureIntervals()
    now = depart(intervals, 40, 5)
    now += PAUSE
    intervals.record_departure(now, waiting=True)
    assert intervals.estimate_wait(now, POSITION, USUAL) < DEADLINE


def test_the_first_interval_alone_refuses_no_request():
    intervals = DepartureIntervals()
    intervals.record_departure(0, waiting=True)
    intervals.record_departure(PAUSE, waiting=True)
    assert intervals.estimate_wait(PAUSE, POSITION, USUAL) < DEADLINE


def test_a_queue_that_has_slowed_down_is_estimated_as_such():
    intervals = DepartureIntervals()
    now = depart(intervals, 40, 5)
    for _ in range(MINIMUM_DEPARTURES):
        now += 10 * USUAL
        intervals.record_departure(now, waiting=True)
    wait = intervals.estimate_wait(now, MINIMUM_DEPARTURES, USUAL)
    assert round(wait, 6) == MINIMUM_DEPARTURES * 10 * USUAL
