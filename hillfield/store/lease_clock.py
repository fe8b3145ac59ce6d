"""Know locally whether a lease is certainly held; pure, time is a value.

The store counts a lease's time from when it handles a renewal, which is
after the renewal was sent. So the lease can't lapse before the time of
sending plus its time to live, whatever the answer took. A holder that was
paused wakes with that time behind it and sees that it holds nothing.
"""

from enum import StrEnum
from importlib.resources import files
from random import Random
from typing import Final

from msgspec import Struct

from hillfield.charts import MissingTransition, read_chart


class LeaseState(StrEnum):
    """Name the states of the chart."""

    ABSENT = 'absent'
    HELD = 'held'
    DOUBTFUL = 'doubtful'


class LeaseTrigger(StrEnum):
    """Name what moves a lease."""

    GRANT = 'grant'
    RENEW = 'renew'
    ELAPSE = 'elapse'
    LAPSE = 'lapse'


class LeaseAction(StrEnum):
    """Name what a step asks for."""

    NONE = 'none'
    REPORT_GRANTED = 'report-granted'
    REPORT_DOUBTFUL = 'report-doubtful'
    REPORT_LOST = 'report-lost'


CHART: Final = read_chart(files('hillfield.store') / 'lease.toml').bind(
    LeaseState,
    LeaseTrigger,
    LeaseAction,
)
RENEWALS: Final = 3
JITTER: Final = 0.2


class LeaseSettings(Struct, frozen=True):
    """Say how long a lease lives; times are seconds.

    Its holder stops believing in it `margin` seconds before it can lapse:
    more than clocks drift apart in that time and than one step of the
    holder's work takes.
    """

    seconds: int = 9
    margin: float = 2


class LeaseClock:
    """Hold what is known of one lease."""

    def __init__(self, settings: LeaseSettings, random: Random) -> None:
        """Start without a lease."""
        self.state = CHART.initial
        self.number = 0
        self.settings = settings
        self._random = random
        self._sure_until = float(0)
        self._renew_at = float(0)

    def held(self, now: float) -> bool:
        """Tell whether the lease is held for certain; ask before each act."""
        return self.state is LeaseState.HELD and now < self._sure_until

    def find_wait(self, now: float) -> float:
        """Return the seconds until it is time to grant or to renew."""
        return max(0, self._renew_at - now)

    def note_granted(self, sent: float, number: int) -> LeaseAction:
        """Take a new lease whose request was sent at that time."""
        self.number = number
        self._sure_until = sent
        return self._prolong(sent, LeaseTrigger.GRANT)

    def note_renewed(self, sent: float, number: int) -> LeaseAction:
        """Take a renewal that was sent at that time."""
        if number != self.number:
            return LeaseAction.NONE
        return self._prolong(sent, LeaseTrigger.RENEW)

    def note_lapsed(self) -> LeaseAction:
        """Take the store's word that the lease is gone."""
        self.number = 0
        self._renew_at = 0
        return self._follow(LeaseTrigger.LAPSE)

    def tick(self, now: float) -> LeaseAction:
        """Notice that the lease is no longer held for certain."""
        if self.state is LeaseState.HELD and not self.held(now):
            return self._follow(LeaseTrigger.ELAPSE)
        return LeaseAction.NONE

    def _prolong(self, sent: float, trigger: LeaseTrigger) -> LeaseAction:
        lifetime = self.settings.seconds
        certain = sent + lifetime - self.settings.margin
        # Answers may come out of order: time is never taken back.
        self._sure_until = max(self._sure_until, certain)
        share = self._random.uniform(1 - JITTER, 1) / RENEWALS
        self._renew_at = sent + lifetime * share
        return self._follow(trigger)

    def _follow(self, trigger: LeaseTrigger) -> LeaseAction:
        step = CHART.follow(self.state, trigger)
        if isinstance(step, MissingTransition):
            return LeaseAction.NONE
        self.state = step.state
        return step.action
