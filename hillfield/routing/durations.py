"""Estimates of how long the requests of each route take.

Routes of one target differ more in duration than healthy and unhealthy targets
do, so one limit for all routes would wait far too long for the short ones.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import erfc, exp, log, sqrt
from typing import Final

from hillfield.model import RequestPlan

ROUTES_KEPT: Final = 512
# Assumptions about a route before its first measurement: the median duration
# as a share of the latency objective (`aim`), the standard deviation of the
# logarithm of the duration, and the number of answers that the assumptions
# count as. Deployed routes take 0.2 to 0.5 of the objective, with a deviation
# of 0.3 to 0.8.
ASSUMED_AIM_SHARE: Final = 0.33
ASSUMED_SPREAD: Final = 0.7
ASSUMED_COUNT: Final = 2
# Latency objective in seconds of plans that name none.
ASSUMED_AIM: Final = 1.0
# Answers that the estimate weighs: it follows a change within about as many.
MAXIMUM_COUNT: Final = 30
LEAST_SPREAD: Final = 0.3
# Share of the mean latency up to which a route's requests count as quick.
QUICK_SHARE: Final = 0.75
LEAST_SECONDS: Final = 0.001


@dataclass(slots=True)
class DurationEstimate:
    """Estimate the duration of requests, in seconds, as log-normal.

    `log_mean` and `log_variance` are the mean and variance of the logarithm.

    >>> short = DurationEstimate(log(0.1), 0.25)
    >>> round(short.find_quantile(1.28), 2), round(short.share_above(0.19), 1)
    (0.19, 0.1)
    """

    log_mean: float
    log_variance: float
    count: int = ASSUMED_COUNT

    def add_sample(self, seconds: float) -> None:
        """Add a measured duration."""
        self.count = min(MAXIMUM_COUNT, self.count + 1)
        gain = 1 / self.count
        surplus = log(max(LEAST_SECONDS, seconds)) - self.log_mean
        self.log_mean += gain * surplus
        kept = 1 - gain
        self.log_variance = kept * (self.log_variance + gain * surplus**2)

    def find_quantile(self, deviations: float) -> float:
        """Return the duration that lies this far above the median."""
        return exp(self.log_mean + deviations * self._spread())

    def share_above(self, seconds: float) -> float:
        """Return the share of requests that take longer than `seconds`."""
        surplus = log(max(LEAST_SECONDS, seconds)) - self.log_mean
        return erfc(surplus / self._spread() / sqrt(2)) / 2

    def _spread(self) -> float:
        return max(LEAST_SPREAD, sqrt(self.log_variance))


class RouteDurations:
    """Hold the duration of each route, dropping the least recently used."""

    def __init__(self) -> None:
        """Start without routes."""
        self._routes: OrderedDict[str, DurationEstimate] = OrderedDict()

    def is_quick(self, plan: RequestPlan, mean: float) -> bool:
        """Return whether the plan's requests are short compared to the mean.

        Quick requests are served first: they occupy a slot for the shortest
        time, and running requests, which occupy slots too, wait for some.
        """
        if not plan.aim:
            return False
        return self.find(plan).find_quantile(0) <= QUICK_SHARE * mean

    def is_measured(self, plan: RequestPlan) -> bool:
        """Return whether the plan's route has a measurement."""
        found = self._routes.get(plan.route)
        return found is not None and found.count > ASSUMED_COUNT

    def find(self, plan: RequestPlan) -> DurationEstimate:
        """Return the duration of the plan's route, assumed if not measured."""
        found = self._routes.get(plan.route)
        if found is None:
            log_mean = log(ASSUMED_AIM_SHARE * (plan.aim or ASSUMED_AIM))
            found = DurationEstimate(log_mean, ASSUMED_SPREAD**2)
            self._routes[plan.route] = found
            if len(self._routes) > ROUTES_KEPT:
                self._routes.popitem(last=False)
        self._routes.move_to_end(plan.route)
        return found
