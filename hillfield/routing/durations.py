"""How long the requests of each route take.

Routes to one target differ in length by more than sick targets do, so that
one limit for all would wait far too long for the short ones.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import erfc, exp, log, sqrt
from typing import Final

from hillfield.model import RequestPlan

ROUTES_KEPT: Final = 512
# What is assumed of a route before anything is measured: the part of the time
# in which an answer is worth most that its requests take as a rule, their
# spread (standard deviation of the logarithm), and how many answers that
# counts for. Routes of the users' deployments take 0.2 to 0.5 of that time
# and spread by 0.3 to 0.8 (their site files).
ASSUMED_AIM_SHARE: Final = 0.33
ASSUMED_SPREAD: Final = 0.7
ASSUMED_COUNT: Final = 2
# Seconds in which an answer is worth most where nobody says so.
ASSUMED_AIM: Final = 1.0
# Answers remembered: a change in length is learnt within about so many.
MAXIMUM_COUNT: Final = 30
LEAST_SPREAD: Final = 0.3
# Part of the mean of a target's requests up to which one counts as quick.
QUICK_SHARE: Final = 0.75
LEAST_SECONDS: Final = 0.001


@dataclass(slots=True)
class Duration:
    """Hold a log-normal estimate of how long requests take, in seconds.

    `middle` and `variance` are those of the logarithm of the seconds.

    >>> short = Duration(log(0.1), 0.25)
    >>> round(short.find_quantile(1.28), 2), round(short.survive(0.19), 1)
    (0.19, 0.1)
    """

    middle: float
    variance: float
    count: int = ASSUMED_COUNT

    def note(self, seconds: float) -> None:
        """Take how long a request took."""
        self.count = min(MAXIMUM_COUNT, self.count + 1)
        gain = 1 / self.count
        surplus = log(max(LEAST_SECONDS, seconds)) - self.middle
        self.middle += gain * surplus
        kept = 1 - gain
        self.variance = kept * (self.variance + gain * surplus**2)

    def find_quantile(self, deviations: float) -> float:
        """Return the seconds so many standard deviations above the median."""
        return exp(self.middle + deviations * self._spread())

    def survive(self, seconds: float) -> float:
        """Return the share of requests that take longer."""
        surplus = log(max(LEAST_SECONDS, seconds)) - self.middle
        return erfc(surplus / self._spread() / sqrt(2)) / 2

    def _spread(self) -> float:
        return max(LEAST_SPREAD, sqrt(self.variance))


class Durations:
    """Keep the duration of each route, the least recently used forgotten."""

    def __init__(self) -> None:
        """Start without any."""
        self._routes: OrderedDict[str, Duration] = OrderedDict()

    def is_quick(self, plan: RequestPlan, mean: float) -> bool:
        """Tell whether the plan's requests are short beside the mean.

        Quick requests go first: they hold up others least, and calls of
        running work are among them, whose slot waits as long as they do.
        """
        if not plan.aim:
            return False
        return self.find(plan).find_quantile(0) <= QUICK_SHARE * mean

    def knows(self, plan: RequestPlan) -> bool:
        """Tell whether any request of the plan's route was measured."""
        found = self._routes.get(plan.route)
        return found is not None and found.count > ASSUMED_COUNT

    def find(self, plan: RequestPlan) -> Duration:
        """Return what is known of the plan's route."""
        found = self._routes.get(plan.route)
        if found is None:
            middle = log(ASSUMED_AIM_SHARE * (plan.aim or ASSUMED_AIM))
            found = Duration(middle, ASSUMED_SPREAD**2)
            self._routes[plan.route] = found
            if len(self._routes) > ROUTES_KEPT:
                self._routes.popitem(last=False)
        self._routes.move_to_end(plan.route)
        return found
