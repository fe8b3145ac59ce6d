"""State of a gate: its target, and the requests in flight and waiting."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from hillfield.crashes import LostRuns
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.gate.ages import AgeReliability
from hillfield.gate.health import AttemptResult, HealthScore
from hillfield.gate.limit import RateLimit
from hillfield.gate.calls import CallParents, FailedCalls
from hillfield.gate.queue import GateQueue
from hillfield.gate.repeats import RepeatPart
from hillfield.gate.served import ServedIncarnation
from hillfield.gate.usage import AccountUsage, is_service_call
from hillfield.model import (
    IncarnationNotice,
    RepeatKind,
    Target,
    TargetState,
)
from hillfield.routing.durations import RouteDurations
from hillfield.routing.loads import Latency
from hillfield.routing.records import AttemptRecord, RequestRecord, RequestTable
from hillfield.routing.refusals import Cause, end_refused
from hillfield.routing.requests import Refuse, Send

# How many times longer requests take at a target that has started a short time
# ago. Without it, all targets are quarantined at once after a loss of power.
COLD_FACTOR: Final = 2.0

# Called with the service and the kind of each repeat that is sent.
RepeatListener = Callable[[str, str], None]
# Returns what the gates of a service have left of its bound on repeats on
# average, in parts of the slack; None: unknown.
ShareSource = Callable[[float, str], float | None]


def _ignore_repeat(service: str, kind: str) -> None:
    """Ignore the repeat."""


def _find_no_share(now: float, service: str) -> None:
    """Return None: nothing is known of other gates."""


@dataclass(slots=True)
class GateState:
    """Hold what the gate decides with.

    `departing` is the incarnation that announced that it leaves, until another one
    is served; `displaced` are refusals of waiting requests that gave way to
    more urgent ones, until a poll returns them.
    """

    journal: Journal
    repeats: RepeatPart
    serving: ServedIncarnation | None = None
    departing: ServedIncarnation | None = None
    health: HealthScore = field(default_factory=HealthScore)
    limit: RateLimit = field(default_factory=RateLimit)
    table: RequestTable = field(default_factory=RequestTable)
    queue: GateQueue = field(default_factory=GateQueue)
    latency: Latency = field(default_factory=Latency)
    failed_calls: FailedCalls = field(default_factory=FailedCalls)
    durations: RouteDurations = field(default_factory=RouteDurations)
    lost_runs: LostRuns = field(default_factory=LostRuns)
    age_reliability: AgeReliability = field(default_factory=AgeReliability)
    usage: AccountUsage = field(default_factory=AccountUsage)
    displaced: list[Refuse] = field(default_factory=list)
    on_repeat: RepeatListener = _ignore_repeat
    find_share: ShareSource = _find_no_share
    call_parents: CallParents = field(default_factory=CallParents)

    @property
    def target(self) -> Target | None:
        """Return the target to send to, or None."""
        return None if self.serving is None else self.serving.target

    @property
    def in_flight(self) -> int:
        """Count the requests at the served incarnation.

        Requests at an earlier incarnation hold no slot of the served one.
        """
        target = self.target
        if target is None:
            return len(self.table.attempts)
        return sum(
            attempt.target.id == target.id
            for attempt in self.table.attempts.values()
        )

    def build_notice(self) -> IncarnationNotice | None:
        """Return what the target said about itself, for other nodes."""
        if self.serving is not None:
            rate = self.limit.rate
            return (
                None
                if rate is None
                else IncarnationNotice(self.serving.identifier, rate)
            )
        left = self.departing
        return (
            None
            if left is None
            else IncarnationNotice(left.identifier, leaving=True)
        )

    def record_result(
        self,
        now: float,
        target: Target,
        attempt_result: AttemptResult,
        weight: float | None = None,
    ) -> None:
        """Record the result of an attempt at the target."""
        serving = self.serving
        if serving is None or serving.target.id != target.id:
            return
        if self.health.record(now, attempt_result, weight):
            self._record_quarantine(serving, f'last request {attempt_result}')

    def retract_age(self, now: float, attempt: AttemptRecord) -> None:
        """Retract the evidence of a request's age, since it was answered."""
        serving = self.serving
        if serving is None or serving.target.id != attempt.target.id:
            return
        if self.health.retract(now, attempt.age_weight):
            self._record_quarantine(serving, 'slow requests were answered')

    def record_answered(self, now: float, attempt: AttemptRecord) -> None:
        """Record the duration of an answered attempt."""
        self.latency.add_sample(now, now - attempt.started)
        duration = self.durations.find(attempt.record.arrival.plan)
        duration.add_sample(self.compute_warm_age(now, attempt))

    def compute_warm_age(self, now: float, attempt: AttemptRecord) -> float:
        """Return the age of an attempt, in seconds at a warmed-up target."""
        seconds = attempt.compute_age(now)
        target = self.target
        if target is not None and target.state is TargetState.COLD:
            return seconds / COLD_FACTOR
        return seconds

    def send(self, now: float, record: RequestRecord, target: Target) -> Send:
        """Start an attempt."""
        self.health.record_start(now)
        self.limit.consume(now)
        plan = record.arrival.plan
        self.repeats.record(now, plan.repeat)
        if plan.repeat is not None:
            _record_repeat(self, record, target, plan.repeat)
        if not is_service_call(plan):
            expected = self.durations.find(plan).find_quantile(0)
            self.usage.charge(now, plan.account, expected)
        return self.table.start(now, record, target)

    def refuse(self, record: RequestRecord, cause: Cause) -> Refuse:
        """End a request; the outcome depends on whether it was sent."""
        failure = end_refused(self.table, record, cause)
        return Refuse(record.arrival.request, failure)

    def pop_displaced(self) -> tuple[Refuse, ...]:
        """Return and clear the refusals of displaced requests."""
        declined = tuple(self.displaced)
        self.displaced.clear()
        return declined

    def record_event(
        self, code: EventCode, serving: ServedIncarnation, detail: str
    ) -> None:
        """Record an event of the target."""
        target = serving.target.id
        self.journal.record(
            Occurrence(
                code,
                service=target.service,
                target=str(target),
                detail=detail,
            ),
        )

    def _record_quarantine(
        self, serving: ServedIncarnation, reason: str
    ) -> None:
        code = EventCode.GATE_REOPENED
        if self.health.quarantined:
            code = EventCode.GATE_SHUNNED
        score = round(self.health.score, 1)
        self.record_event(code, serving, f'{reason}, score {score}')


def _record_repeat(
    state: GateState,
    record: RequestRecord,
    target: Target,
    kind: RepeatKind,
) -> None:
    name = kind.name.lower()
    state.on_repeat(target.id.service, name)
    state.journal.record(
        Occurrence(
            EventCode.REPEAT_SENT,
            service=target.id.service,
            target=str(target.id),
            request=record.arrival.request,
            detail=name,
        ),
    )
