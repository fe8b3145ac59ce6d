"""Schedule of a node's stop against the platform's rule."""

from hypothesis import given
from hypothesis.strategies import floats
from msgspec.structs import astuple
from pytest import mark

from hillfield.node.stopping import plan_stop

# The users' rule: a request that was sent no later than this after the signal
# may be ended with the process, and only in the last sixth of the grace period.
EXCUSED_UNTIL = 3.0
SIXTHS = 5 / 6


@mark.parametrize('grace', [6, 10])
def test_no_request_is_taken_that_a_stop_must_not_end(grace):
    # Guards against requests taken late in a stop and cut at its end.
    schedule = plan_stop(grace)
    assert schedule.last_request < EXCUSED_UNTIL
    assert SIXTHS * grace <= schedule.last_answers < grace


@given(floats(min_value=0.1, max_value=600))
def test_the_steps_keep_their_order_within_any_time(grace):
    steps = astuple(plan_stop(grace))
    assert steps == tuple(sorted(steps))
    assert 0 < steps[0]
    assert steps[-1] < grace
