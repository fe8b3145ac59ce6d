"""Requests and attempts that have not ended."""

from dataclasses import dataclass, field
from typing import Final

from hillfield.charts import Refusal
from hillfield.model import Target, TargetId
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
from hillfield.routing.readings import Classification
from hillfield.routing.requests import Arrival, Send
from hillfield.routing.queueorder import QueueOrder

MAXIMUM_UNSENT: Final = 6
# A gate that declines costs a few milliseconds and its target nothing.
MAXIMUM_DECLINED: Final = 24


@dataclass(slots=True, eq=False)
class RequestRecord:
    """Follow one request.

    `live` numbers its attempts that have not ended, `any_written` says whether
    any of its bytes was written, so that only a body held whole can be sent
    again, `unsent_attempts` how many attempts ended before any byte was written,
    `declined_by` the targets whose nodes would not hand it over, `started` when
    it was admitted, `queue_order` when it goes among those that wait.
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
    started: float | None = None
    queue_order: QueueOrder = QueueOrder()

    def follow(self, trigger: RequestTrigger) -> RequestAction | None:
        """Take a step of the chart; None when the chart has none."""
        step = REQUEST_CHART.follow(self.phase, trigger)
        if isinstance(step, Refusal):
            return None
        self.phase = step.state
        return step.action

    @property
    def sent(self) -> int:
        """Return how many attempts a target may have seen."""
        return len(self.tried) - self.unsent_attempts

    def has_attempts_left(self) -> bool:
        """Tell whether the plan allows one more attempt.

        Attempts that no target saw have a bound of their own: while many
        targets refuse connections, a living one may be the fifth to be met.
        """
        if self.sent >= self.arrival.plan.maximum_attempts:
            return False
        declined = len(self.declined_by)
        unsent = self.unsent_attempts - declined
        return unsent <= MAXIMUM_UNSENT and declined <= MAXIMUM_DECLINED

    def compute_elapsed(self, now: float) -> float:
        """Return the seconds since the request began."""
        return 0 if self.started is None else now - self.started

    def has_ended(self) -> bool:
        """Tell whether the caller has been given its verdict."""
        return self.phase is RequestPhase.ENDED

    def bound_duration(self, seconds: float, share: float) -> float:
        """Return the seconds of an attempt, at most a share of the deadline.

        A latency of requests of other kinds must not shut out quick ones.
        """
        return min(seconds, self.arrival.plan.deadline * share)

    def is_uncertain(self) -> bool:
        """Tell whether an attempt may have run without a usable answer."""
        return self.phase in {
            RequestPhase.SENT_DOUBTFUL,
            RequestPhase.QUEUED_DOUBTFUL,
        }


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """Follow one attempt; `hung` says that it was counted as too long.

    `weight` is what its age has added to its target's score, `missed` the
    seconds in which this node read no answers: they don't count for its age.
    """

    number: int
    record: RequestRecord
    target: Target
    started: float
    phase: AttemptPhase = ATTEMPT_CHART.initial
    hung: bool = False
    weight: float = 0
    missed: float = 0

    def find_age(self, now: float) -> float:
        """Return the seconds in which an answer would have been read."""
        return now - self.started - self.missed

    def follow(self, trigger: AttemptTrigger) -> AttemptAction:
        """Take a step of the chart."""
        step = ATTEMPT_CHART.follow(self.phase, trigger)
        if isinstance(step, Refusal):
            return AttemptAction.NONE
        self.phase = step.state
        return step.action


class Ledger:
    """Find requests and attempts; count what comes too late."""

    def __init__(self) -> None:
        """Start empty."""
        self.requests: dict[str, RequestRecord] = {}
        self.attempts: dict[int, AttemptRecord] = {}
        self.strays = 0
        self.sends = 0

    def open(self, arrival: Arrival) -> RequestRecord:
        """Start to follow a request."""
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
        """Return an attempt that has not ended, or count a stray."""
        attempt = self.attempts.get(number)
        if attempt is None:
            self.strays += 1
        return attempt

    def excuse(self, now: float, seconds: float) -> None:
        """Leave the last seconds out of the age of each attempt."""
        for attempt in self.attempts.values():
            attempt.missed += min(seconds, attempt.find_age(now))

    def close(self, attempt: AttemptRecord) -> None:
        """Forget an attempt that has ended."""
        self.attempts.pop(attempt.number)
        attempt.record.live.remove(attempt.number)

    def end(
        self,
        record: RequestRecord,
        trigger: RequestTrigger,
    ) -> RequestAction | None:
        """End a request; its attempts that still live stay known."""
        action = record.follow(trigger)
        self.requests.pop(record.arrival.request, None)
        return action
