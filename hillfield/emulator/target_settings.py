"""Settings of one emulated target."""

import random
from math import log

from msgspec import Struct, field

from hillfield.emulator.behaviour import Behaviour
from hillfield.model import Address


class ServiceTime(Struct, frozen=True):
    """Describe the time of service: a lognormal by median and spread.

    `median` is in seconds, `sigma` the spread of the logarithm, `cold` the
    factor right after the start, which falls to 1 over `warm_up` seconds.
    """

    median: float = 0.02
    sigma: float = 0.3
    cold: float = 1
    warm_up: float = 5


class TargetSettings(Struct, frozen=True):
    """Describe an emulated target; `control` is None to announce nothing.

    `queue` is how many requests may wait for a slot before it sheds,
    `heartbeat` the seconds between announcements, `incarnation` 0 to take
    one from the clock.
    """

    service: str
    listen: Address = Address('127.0.0.1', 0)
    control: Address | None = None
    slots: int = 4
    connection_limit: int = 300
    weight: float = 1
    queue: int = 8
    heartbeat: float = 0.5
    incarnation: int = 0
    seed: int = 1
    timing: ServiceTime = field(default_factory=ServiceTime)
    behaviour: Behaviour = field(default_factory=Behaviour)


def draw_seconds(
    timing: ServiceTime,
    source: random.Random,
    age: float,
) -> float:
    """Draw a time of service in seconds for a target of this age.

    >>> draw_seconds(ServiceTime(0.1, 0, 3, 10), random.Random(1), 5)
    0.2
    """
    warm = min(1, age / timing.warm_up) if timing.warm_up else 1
    factor = timing.cold + (1 - timing.cold) * warm
    drawn = source.lognormvariate(log(timing.median), timing.sigma)
    return round(drawn * factor, 6)
