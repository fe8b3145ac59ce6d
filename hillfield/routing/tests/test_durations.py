"""Duration estimates per route."""

from random import Random

from pytest import approx

from hillfield.model import RequestPlan
from hillfield.routing.durations import ROUTES_KEPT, RouteDurations

CALL = RequestPlan('s', 'call', '', True, 1.5, aim=0.4)
LOOKUP = RequestPlan('s', 'lookup', '', True, 4, aim=1.5)


def test_before_any_answer_the_aim_sets_the_duration():
    durations = RouteDurations()
    call = durations.find(CALL).find_quantile(0)
    lookup = durations.find(LOOKUP).find_quantile(0)
    assert call == approx(0.13, abs=0.01)
    assert lookup == approx(0.49, abs=0.01)


def test_routes_of_one_target_are_distinguished():
    durations = RouteDurations()
    random = Random(1)
    for _ in range(50):
        durations.find(CALL).add_sample(random.lognormvariate(-2.3, 0.5))
        durations.find(LOOKUP).add_sample(random.lognormvariate(-0.9, 0.8))
    late = [durations.find(plan).share_above(0.5) for plan in (CALL, LOOKUP)]
    assert late == [approx(0, abs=0.02), approx(0.4, abs=0.12)]


def test_the_estimate_follows_a_change():
    duration = RouteDurations().find(CALL)
    for _ in range(100):
        duration.add_sample(0.1)
    for _ in range(60):
        duration.add_sample(0.4)
    assert duration.find_quantile(0) == approx(0.35, rel=0.15)


def test_equal_answers_leave_the_least_spread():
    duration = RouteDurations().find(CALL)
    for _ in range(200):
        duration.add_sample(0.1)
    assert duration.share_above(0.11) == approx(0.37, abs=0.05)


def test_the_least_recently_used_route_is_dropped():
    durations = RouteDurations()
    first = durations.find(CALL)
    for number in range(ROUTES_KEPT):
        durations.find(RequestPlan('s', f'r{number}', '', True, 1))
    assert durations.find(CALL) is not first
