"""State of a gate: its target, and the requests in flight and waiting."""

from dataclasses import dataclass, field
from typing import Final

from hillfield.crashes import LostRuns
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.gate.ages import AgeTrust
from hillfield.gate.calls import FailedCalls
from hillfield.gate.limit import RateLimit
from hillfield.gate.queue import GateQueue
from hillfield.gate.seat import Seat
from hillfield.gate.shares import AccountShares, is_foreign
from hillfield.gate.standing import Ending, Standing
from hillfield.model import LifeNotice, Target, TargetState
from hillfield.routing.durations import Durations
from hillfield.routing.loads import Latency
from hillfield.routing.records import AttemptRecord, Ledger, RequestRecord
from hillfield.routing.refusals import Cause, end_refused
from hillfield.routing.requests import Refuse, Send

# How many times longer requests take at a target that has started a short time
# ago. Without it, all targets are quarantined at once after a loss of power.
COLD_FACTOR: Final = 2.0


@dataclass(slots=True)
class GateState:
    """Hold what the gate decides with.

    `left` is the incarnation that announced that it leaves, until another one
    is served; `displaced` are refusals of waiting requests that gave way to
    more urgent ones, until a poll returns them.
    """

    journal: Journal
    seat: Seat | None = None
    farewell: Seat | None = None
    standing: Standing = field(default_factory=Standing)
    limit: RateLimit = field(default_factory=RateLimit)
    ledger: Ledger = field(default_factory=Ledger)
    queue: GateQueue = field(default_factory=GateQueue)
    latency: Latency = field(default_factory=Latency)
    calls: FailedCalls = field(default_factory=FailedCalls)
    durations: Durations = field(default_factory=Durations)
    lost: LostRuns = field(default_factory=LostRuns)
    ages: AgeTrust = field(default_factory=AgeTrust)
    shares: AccountShares = field(default_factory=AccountShares)
    declined: list[Refuse] = field(default_factory=list)

    @property
    def target(self) -> Target | None:
        """Return the target to send to, or None."""
        return None if self.seat is None else self.seat.target

    @property
    def in_flight(self) -> int:
        """Count the requests at the served incarnation.

        Requests at an earlier incarnation hold no slot of the served one.
        """
        target = self.target
        if target is None:
            return len(self.ledger.attempts)
        return sum(
            attempt.target.id == target.id
            for attempt in self.ledger.attempts.values()
        )

    def find_notice(self) -> LifeNotice | None:
        """Return what the target said about itself, for other nodes."""
        if self.seat is not None:
            rate = self.limit.rate
            return None if rate is None else LifeNotice(self.seat.life, rate)
        left = self.farewell
        return None if left is None else LifeNotice(left.life, leaving=True)

    def judge(
        self,
        now: float,
        target: Target,
        attempt_result: Ending,
        weight: float | None = None,
    ) -> None:
        """Record the result of an attempt at the target."""
        seat = self.seat
        if seat is None or seat.target.id != target.id:
            return
        if self.standing.note(now, attempt_result, weight):
            self._record_quarantine(seat, f'last request {attempt_result}')

    def clear(self, now: float, attempt: AttemptRecord) -> None:
        """Retract the evidence of a request's age, since it was answered."""
        seat = self.seat
        if seat is None or seat.target.id != attempt.target.id:
            return
        if self.standing.take_back(now, attempt.weight):
            self._record_quarantine(seat, 'slow requests were answered')

    def note_answered(self, now: float, attempt: AttemptRecord) -> None:
        """Record the duration of an answered attempt."""
        self.latency.note(now, now - attempt.started)
        duration = self.durations.find(attempt.record.arrival.plan)
        duration.note(self.find_work(now, attempt))

    def find_work(self, now: float, attempt: AttemptRecord) -> float:
        """Return the age of an attempt, in seconds at a warmed-up target."""
        seconds = attempt.find_age(now)
        target = self.target
        if target is not None and target.state is TargetState.COLD:
            return seconds / COLD_FACTOR
        return seconds

    def send(self, now: float, record: RequestRecord, target: Target) -> Send:
        """Start an attempt."""
        self.standing.begin(now)
        self.limit.take(now)
        plan = record.arrival.plan
        if not is_foreign(plan):
            expected = self.durations.find(plan).find_quantile(0)
            self.shares.charge(now, plan.account, expected)
        return self.ledger.start(now, record, target)

    def refuse(self, record: RequestRecord, cause: Cause) -> Refuse:
        """End a request; the outcome depends on whether it was sent."""
        failure = end_refused(self.ledger, record, cause)
        return Refuse(record.arrival.request, failure)

    def take_declined(self) -> tuple[Refuse, ...]:
        """Return and clear the refusals of displaced requests."""
        declined = tuple(self.declined)
        self.declined.clear()
        return declined

    def record(self, code: EventCode, seat: Seat, detail: str) -> None:
        """Record an event of the target."""
        target = seat.target.id
        self.journal.record(
            Occurrence(
                code,
                service=target.service,
                target=str(target),
                detail=detail,
            ),
        )

    def _record_quarantine(self, seat: Seat, reason: str) -> None:
        code = EventCode.GATE_REOPENED
        if self.standing.shunned:
            code = EventCode.GATE_SHUNNED
        score = round(self.standing.score, 1)
        self.record(code, seat, f'{reason}, score {score}')
