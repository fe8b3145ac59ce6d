"""Summary of a request's attempts, for the log entry of its failure."""

from typing import Final

from hillfield.model import RequestPlan, Urgency
from hillfield.routing.declining import Declined
from hillfield.routing.requests import (
    ConnectFailed,
    NothingWritten,
    Observation,
    Send,
)

# Seconds for which a route counts as new: each node has to collect its own
# statistics on the requests of a new route.
NEW_ROUTE_SECONDS: Final = 30.0
FIRST: Final = 'first'
NEW: Final = 'new'
OLDER: Final = 'older'
_UNSENT: Final = (ConnectFailed, NothingWritten)


class AttemptSummary:
    """Counts of how a request's attempts ended; times are seconds.

    >>> summary = AttemptSummary(10.0)
    >>> summary.describe(RequestPlan('fees', 'r', '', True, 1), 10.25)
    'route r; 0.250 s: declined 0 (0 withheld), sent 0'
    """

    def __init__(self, began: float) -> None:
        """Start without attempts."""
        self._began = began
        self._declined = 0
        self._withheld = 0
        self._unsent = 0
        self._sent = 0
        self._first_sent: float | None = None
        self._urgency = Urgency.HEALTHY_ONLY

    def record_sent(self, send: Send) -> None:
        """Record the start of an attempt."""
        self._urgency = send.urgency

    def record_end(
        self,
        written_at: float | None,
        observation: Observation,
    ) -> None:
        """Record how an attempt ended, and when it was written, if it was."""
        if isinstance(observation, Declined):
            self._declined += 1
            self._withheld += observation.lasting
        elif isinstance(observation, _UNSENT):
            self._unsent += 1
        else:
            self._sent += 1
            if self._first_sent is None:
                self._first_sent = written_at

    def describe(self, plan: RequestPlan, now: float) -> str:
        """Return a description of the route, the attempts and their times."""
        spent = now - self._began
        parts = [
            _describe_route(plan, now),
            self._describe_declines(spent),
            f'sent {self._sent}',
        ]
        if self._unsent:
            parts.append(f'not reached {self._unsent}')
        if self._first_sent is not None:
            after = self._first_sent - self._began
            parts.append(f'first after {after:.3f} s')
        if self._urgency:
            urgency = self._urgency.name.lower()
            parts.append(f'last urgency {urgency}')
        opening, *rest = parts
        return '; '.join((opening, ', '.join(rest)))

    def _describe_declines(self, spent: float) -> str:
        declines = f'declined {self._declined} ({self._withheld} withheld)'
        return f'{spent:.3f} s: {declines}'


def classify_route_age(plan: RequestPlan, now: float) -> str | None:
    """Return the age class of a request's route at this node.

    None: the age is not known at this node.

    >>> plan = RequestPlan('fees', 'r', '', True, 1, route_version=2,
    ...     route_since=5.0)
    >>> classify_route_age(plan, 6.0), classify_route_age(plan, 60.0)
    ('new', 'older')
    """
    if plan.route_version is None:
        return None
    if plan.route_since is None:
        return FIRST
    return NEW if now - plan.route_since < NEW_ROUTE_SECONDS else OLDER


def _describe_route(plan: RequestPlan, now: float) -> str:
    route = f'route {plan.route}'
    if plan.route_version is None:
        return route
    if plan.route_since is None:
        return f'{route} of the first routing table'
    age = now - plan.route_since
    return f'{route} of version {plan.route_version}, {age:.1f} s old'
