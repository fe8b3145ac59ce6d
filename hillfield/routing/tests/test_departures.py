"""How long a request is told that it would wait."""

from hillfield.routing.departures import MINIMUM_DEPARTURES, DepartureIntervals

# Seconds between departures, and of one pause of the node between two.
USUAL = 0.008
PAUSE = 0.3
DEADLINE = 1.0
LINE = 35


def depart(intervals, count, now):
    for _ in range(count):
        now += USUAL
        intervals.record_departure(now, waiting=True)
    return now


def test_one_pause_does_not_refuse_a_line_that_moves_again():
    # Captures were told not run: 0.3 s between two answers counted for each.
    intervals = DepartureIntervals()
    now = depart(intervals, 40, 5)
    now += PAUSE
    intervals.record_departure(now, waiting=True)
    assert intervals.estimate_wait(now, LINE, USUAL) < DEADLINE


def test_the_first_interval_alone_refuses_nobody():
    intervals = DepartureIntervals()
    intervals.record_departure(0, waiting=True)
    intervals.record_departure(PAUSE, waiting=True)
    assert intervals.estimate_wait(PAUSE, LINE, USUAL) < DEADLINE


def test_a_line_that_has_slowed_down_is_told_so():
    intervals = DepartureIntervals()
    now = depart(intervals, 40, 5)
    for _ in range(MINIMUM_DEPARTURES):
        now += 10 * USUAL
        intervals.record_departure(now, waiting=True)
    wait = intervals.estimate_wait(now, MINIMUM_DEPARTURES, USUAL)
    assert round(wait, 6) == MINIMUM_DEPARTURES * 10 * USUAL
