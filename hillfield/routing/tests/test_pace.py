"""How long a request is told that it would wait."""

from hillfield.routing.pace import DEPARTURES_JUDGED, Pace

# Seconds between departures, and of one pause of the node between two.
USUAL = 0.008
PAUSE = 0.3
DEADLINE = 1.0
LINE = 35


def depart(pace, count, now):
    for _ in range(count):
        now += USUAL
        pace.note_departure(now, waiting=True)
    return now


def test_one_pause_does_not_refuse_a_line_that_moves_again():
    # Captures were told not run: 0.3 s between two answers counted for each.
    pace = Pace()
    now = depart(pace, 40, 5)
    now += PAUSE
    pace.note_departure(now, waiting=True)
    assert pace.expect_wait(now, LINE, USUAL) < DEADLINE


def test_the_first_interval_alone_refuses_nobody():
    pace = Pace()
    pace.note_departure(0, waiting=True)
    pace.note_departure(PAUSE, waiting=True)
    assert pace.expect_wait(PAUSE, LINE, USUAL) < DEADLINE


def test_a_line_that_has_slowed_down_is_told_so():
    pace = Pace()
    now = depart(pace, 40, 5)
    for _ in range(DEPARTURES_JUDGED):
        now += 10 * USUAL
        pace.note_departure(now, waiting=True)
    wait = pace.expect_wait(now, DEPARTURES_JUDGED, USUAL)
    assert round(wait, 6) == DEPARTURES_JUDGED * 10 * USUAL
