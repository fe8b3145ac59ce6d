"""Decide when to call a store that has failed; pure, time is a value.

Waits are drawn evenly between nothing and a ceiling that doubles, so that
nodes that lost the store at the same moment call it at different ones.
"""

from enum import StrEnum
from importlib.resources import files
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.charts import MissingTransition, read_chart


class CircuitState(StrEnum):
    """Name the states of the chart."""

    CLOSED = 'closed'
    OPEN = 'open'
    TRIAL = 'trial'


class CircuitTrigger(StrEnum):
    """Name what moves a circuit."""

    TRIP = 'trip'
    TRY = 'try'
    RECOVER = 'recover'


class CircuitAction(StrEnum):
    """Name what a step asks for."""

    NONE = 'none'


# Enough for every wait that is worth it, and no overflow.
MOST_DOUBLINGS: Final = 32
CHART: Final = read_chart(files('hillfield.store') / 'circuit.toml').bind(
    CircuitState,
    CircuitTrigger,
    CircuitAction,
)


class RetrySettings(Struct, frozen=True):
    """Say how long to wait; times are seconds.

    The first wait is at most `first`, each further one at most twice the
    one before, none more than `longest`. A trial that says nothing within
    `trial` seconds counts as failed.
    """

    first: float = 2
    longest: float = 30
    trial: float = 10


class Circuit:
    """Hold one user's view of the store."""

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        """Start closed."""
        self.state = CHART.initial
        self.failures = 0
        self._settings = settings
        self._random = random
        self._next = float(0)

    def find_wait(self, now: float) -> float:
        """Return the seconds until a call may be made, 0 for at once."""
        if self.state is CircuitState.CLOSED:
            return 0
        return max(0, self._next - now)

    def admit(self, now: float) -> bool:
        """Let a call through or not; one let through must be reported."""
        if self.find_wait(now) > 0:
            return False
        if self.state is not CircuitState.CLOSED:
            self._follow(CircuitTrigger.TRY)
            self._next = now + self._settings.trial
        return True

    def note_success(self) -> None:
        """Close: the store has answered."""
        self.failures = 0
        if self.state is not CircuitState.CLOSED:
            self._follow(CircuitTrigger.RECOVER)

    def note_failure(self, now: float) -> None:
        """Open until a drawn time."""
        self._follow(CircuitTrigger.TRIP)
        ceiling = find_ceiling(self._settings, self.failures)
        self._next = now + self._random.uniform(0, ceiling)
        self.failures += 1

    def _follow(self, trigger: CircuitTrigger) -> None:
        step = CHART.follow(self.state, trigger)
        if not isinstance(step, MissingTransition):
            self.state = step.state


def find_ceiling(settings: RetrySettings, failures: int) -> float:
    """Return the longest wait after so many failures before this one.

    >>> [find_ceiling(RetrySettings(), failures) for failures in (0, 1, 99)]
    [2, 4, 30]
    """
    doublings = min(failures, MOST_DOUBLINGS)
    return min(settings.longest, settings.first * (1 << doublings))
