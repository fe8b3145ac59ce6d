"""Costs of the policies for idle connections."""

from pytest import mark

from hillfield.routing.retention import (
    draw_burst_gap,
    draw_even_gap,
    draw_tail_gap,
    keep_at_random,
    keep_to_break_even,
    measure_keeping,
)

DRAWINGS = (draw_even_gap, draw_burst_gap, draw_tail_gap)


@mark.parametrize('drawing', DRAWINGS)
@mark.parametrize('mean', [1, 15, 120])
def test_proven_bounds_hold(drawing, mean):
    assert measure_keeping(keep_to_break_even, drawing, 15, mean) <= 2
    assert measure_keeping(keep_at_random, drawing, 1500, mean) >= 1
