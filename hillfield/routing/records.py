"""Table of the requests and attempts in flight."""

from dataclasses import dataclass, field
from typing import Final

from hillfield.charts import MissingTransition
from hillfield.model import Target, TargetId
from hillfield.routing.classification import Classification
from hillfield.routing.phases import (
    ATTEMPT_CHART,
    REQUEST_CHART,
    AttemptAction,
    AttemptPhase,
    AttemptTrigger,
    RequestAction,
    RequestPhase,
    RequestTrigger,
)
from hillfield.routing.queueorder import QueueOrder
from hillfield.routing.requests import Arrival, Send

MAXIMUM_UNSENT: Final = 6
# Larger than the bound above: a decline costs a few milliseconds and puts no
# load on the target.
MAXIMUM_DECLINED: Final = 24


@dataclass(slots=True, eq=False)
class RequestRecord:
    """Track one request.

    `live` holds the numbers of its attempts that have not ended. `any_written`
    says whether any byte of it was written; after that it can be sent again
    only if its complete body is buffered. `unsent_attempts` counts attempts
    that ended before a byte was written, `declined_by` lists the targets whose
    gates declined it, `declined_repeats` how often as a repeat, `started` is
    when it was admitted, `queue_order` its position among waiting requests.
    """

    arrival: Arrival
    phase: RequestPhase = REQUEST_CHART.initial
    live: list[int] = field(default_factory=list)
    tried: tuple[TargetId, ...] = ()
    queued_at: float = 0
    classification: Classification | None = None
    peer: str = ''
    any_written: bool = False
    unsent_attempts: int = 0
    declined_by: tuple[TargetId, ...] = ()
    declined_repeats: int = 0
    started: float | None = None
    queue_order: QueueOrder = QueueOrder()

    def follow(self, trigger: RequestTrigger) -> RequestAction | None:
        """Apply a trigger to the chart; return None if it has no such step."""
        step = REQUEST_CHART.follow(self.phase, trigger)
        if isinstance(step, MissingTransition):
            return None
        self.phase = step.state
        return step.action

    @property
    def sent(self) -> int:
        """Return how many attempts may have reached a target."""
        return len(self.tried) - self.unsent_attempts

    def has_attempts_left(self) -> bool:
        """Return whether the plan allows one more attempt.

        Attempts that reached no target have a separate bound: while many
        targets refuse connections, the first live one may be the fifth tried.
        """
        if self.sent >= self.arrival.plan.maximum_attempts:
            return False
        declined = len(self.declined_by)
        unsent = self.unsent_attempts - declined
        return unsent <= MAXIMUM_UNSENT and declined <= MAXIMUM_DECLINED

    def compute_elapsed(self, now: float) -> float:
        """Return the seconds since the request was admitted."""
        return 0 if self.started is None else now - self.started

    def has_ended(self) -> bool:
        """Return whether the final decision on the request has been made."""
        return self.phase is RequestPhase.ENDED

    def bound_duration(self, seconds: float, share: float) -> float:
        """Limit an attempt's estimated seconds to a share of the deadline.

        Otherwise an estimate that stems from slower kinds of requests would
        refuse quick ones.
        """
        return min(seconds, self.arrival.plan.deadline * share)

    def is_uncertain(self) -> bool:
        """Return whether an attempt may have run without a usable answer."""
        return self.phase in {
            RequestPhase.SENT_UNCERTAIN,
            RequestPhase.QUEUED_UNCERTAIN,
        }


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """Track one attempt; `hung` says that it was counted as overdue.

    `age_weight` is what its age has added to its target's health score, `missed_seconds`
    the seconds in which this node read no answers; they are left out of the
    attempt's age.
    """

    number: int
    record: RequestRecord
    target: Target
    started: float
    phase: AttemptPhase = ATTEMPT_CHART.initial
    hung: bool = False
    age_weight: float = 0
    missed_seconds: float = 0

    def compute_age(self, now: float) -> float:
        """Return the attempt's age in seconds, without missed time."""
        return now - self.started - self.missed_seconds

    def follow(self, trigger: AttemptTrigger) -> AttemptAction:
        """Apply a trigger to the chart and return the step's action."""
        step = ATTEMPT_CHART.follow(self.phase, trigger)
        if isinstance(step, MissingTransition):
            return AttemptAction.NONE
        self.phase = step.state
        return step.action


class RequestTable:
    """Hold requests and attempts in flight; count late observations."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.requests: dict[str, RequestRecord] = {}
        self.attempts: dict[int, AttemptRecord] = {}
        self.strays = 0
        self.sends = 0

    def open(self, arrival: Arrival) -> RequestRecord:
        """Add a request."""
        record = RequestRecord(arrival)
        self.requests[arrival.request] = record
        return record

    def start(self, now: float, record: RequestRecord, target: Target) -> Send:
        """Start an attempt at the target."""
        if record.started is None:
            record.started = now
        record.follow(RequestTrigger.SEND)
        self.sends += 1
        attempt = AttemptRecord(self.sends, record, target, now)
        self.attempts[attempt.number] = attempt
        record.live.append(attempt.number)
        record.tried = (*record.tried, target.id)
        return Send(
            record.arrival.request,
            attempt.number,
            target.id,
            target.id.address,
        )

    def find(self, number: int) -> AttemptRecord | None:
        """Return an attempt in flight; if it has ended, count a stray."""
        attempt = self.attempts.get(number)
        if attempt is None:
            self.strays += 1
        return attempt

    def discount_pause(self, now: float, seconds: float) -> None:
        """Leave the last seconds out of the age of every attempt."""
        for attempt in self.attempts.values():
            attempt.missed_seconds += min(seconds, attempt.compute_age(now))

    def close(self, attempt: AttemptRecord) -> None:
        """Remove an attempt that has ended."""
        self.attempts.pop(attempt.number)
        attempt.record.live.remove(attempt.number)

    def end(
        self,
        record: RequestRecord,
        trigger: RequestTrigger,
    ) -> RequestAction | None:
        """End and remove a request; its attempts in flight stay."""
        action = record.follow(trigger)
        self.requests.pop(record.arrival.request, None)
        return action
