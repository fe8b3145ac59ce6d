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
from hillfield.routing.readings import Reading
from hillfield.routing.requests import Arrival, Send
from hillfield.routing.turns import Turn

MAXIMUM_UNSENT: Final = 6
# A gate that declines costs a few milliseconds and its target nothing.
MAXIMUM_DECLINED: Final = 24


@dataclass(slots=True, eq=False)
class RequestRecord:
    """Follow one request.

    `live` numbers its attempts that have not ended, `consumed` says whether
    any of its bytes was written, so that only a body held whole can be sent
    again, `unsent` how many attempts ended before any byte was written,
    `declined` the targets whose nodes would not hand it over, `began` when
    it was admitted, `turn` when it goes among those that wait.
    """

    arrival: Arrival
    phase: RequestPhase = REQUEST_CHART.initial
    live: list[int] = field(default_factory=list)
    tried: tuple[TargetId, ...] = ()
    queued_at: float = 0
    reading: Reading | None = None
    peer: str = ''
    consumed: bool = False
    unsent: int = 0
    declined: tuple[TargetId, ...] = ()
    began: float | None = None
    turn: Turn = Turn()

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
        return len(self.tried) - self.unsent

    def may_try_again(self) -> bool:
        """Tell whether the plan allows one more attempt.

        Attempts that no target saw have a bound of their own: while many
        targets refuse connections, a living one may be the fifth to be met.
        """
        if self.sent >= self.arrival.plan.maximum_attempts:
            return False
        declined = len(self.declined)
        unsent = self.unsent - declined
        return unsent <= MAXIMUM_UNSENT and declined <= MAXIMUM_DECLINED

    def find_spent(self, now: float) -> float:
        """Return the seconds since the request began."""
        return 0 if self.began is None else now - self.began

    def has_ended(self) -> bool:
        """Tell whether the caller has been given its verdict."""
        return self.phase is RequestPhase.ENDED

    def bound_need(self, seconds: float, share: float) -> float:
        """Return the seconds of an attempt, at most a share of the deadline.

        A latency of requests of other kinds must not shut out quick ones.
        """
        return min(seconds, self.arrival.plan.deadline * share)

    def is_doubtful(self) -> bool:
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
        if record.began is None:
            record.began = now
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
