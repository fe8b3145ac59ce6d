"""All that one node keeps of one service's traffic."""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from msgspec.structs import replace

from hillfield.detection.boards import Board
from hillfield.loadreports.reports import Held
from hillfield.model import (
    Locality,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing.budgets import RateLimiter, RetryBudget
from hillfield.routing.durations import Durations
from hillfield.routing.departures import DepartureIntervals
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.queues import FairQueue
from hillfield.routing.records import Ledger, RequestRecord
from hillfield.routing.recentdeclines import RecentDeclines
from hillfield.routing.notices import ReceivedNotices
from hillfield.routing.requests import Refuse, Send
from hillfield.routing.capacity import CapacityTable
from hillfield.routing.selection import Selector
from hillfield.routing.urgency import compute_urgency

# A retry is worth a try when it may be quicker than most.
RETRY_DEADLINE_SHARE: Final = 0.5

# Standard deviations above the median: nine in ten are answered by then. What
# is sent later ends as unknown more often than its callers should see.
LIKELY_DEVIATIONS: Final = 1.28

MILLISECOND_DIGITS: Final = 3


@dataclass(slots=True)
class Counters:
    """Count what became of requests since the node started."""

    admitted: int = 0
    refused: int = 0
    retries: int = 0
    hedges: int = 0
    unknown: int = 0


@dataclass(slots=True)
class ServiceState:
    """Hold the parts that decide for one service.

    `waiting_retries` are requests whose next attempt waits for a slot, `pending_refusals`
    refusals that the next poll hands out, `without_target_since` is when no target
    was first found (None: there are some).
    """

    policy: ServicePolicy
    board: Board
    selector: Selector
    budget: RetryBudget
    table: Ledger = field(default_factory=Ledger)
    limiter: RateLimiter = field(default_factory=RateLimiter)
    queue: FairQueue = field(default_factory=FairQueue)
    departures: DepartureIntervals = field(default_factory=DepartureIntervals)
    waiting_retries: deque[RequestRecord] = field(default_factory=deque)
    pending_refusals: list[Refuse] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters)
    recent_declines: RecentDeclines = field(default_factory=RecentDeclines)
    durations: Durations = field(default_factory=Durations)
    capacities: CapacityTable = field(default_factory=CapacityTable)
    notices: ReceivedNotices = field(default_factory=ReceivedNotices)
    scanned_at: float = 0
    without_target_since: float | None = None

    def expects_target(self, now: float) -> bool:
        """Tell whether targets are known, or may soon be."""
        self.selector.adopt(self.board.rotation())
        if self.selector.capacity:
            self.without_target_since = None
            return True
        if self.without_target_since is None:
            self.without_target_since = now
        return now - self.without_target_since < self.policy.patience

    def choose(
        self,
        now: float,
        excluded: tuple[TargetId, ...] = (),
        *,
        trial: bool = False,
        near: bool = False,
    ) -> Target | None:
        """Choose a target in the present rotation.

        A target whose gate holds work back is the last choice, but for a
        trial, which that gate waits for.
        """
        self.selector.adopt(self.board.rotation())
        held = () if trial else self.recent_declines.list_targets(now)
        found = self.selector.choose(now, (*excluded, *held), near=near)
        if found is None and held:
            return self.selector.choose(now, excluded, near=near)
        return found

    def list_withholding(
        self,
        now: float,
        record: RequestRecord,
    ) -> tuple[TargetId, ...]:
        """Return the targets whose gates hold such work back.

        What a gate has told itself goes before what its declines have said.
        """
        trial = self.can_be_trial(record)
        told = self.capacities.list_withholding(now, record.arrival.plan, trial)
        if trial:
            return told
        declining = self.recent_declines.list_targets(now)
        untold = (
            target
            for target in declining
            if self.capacities.find(target) is None
        )
        return (*told, *untold)

    def send(self, now: float, record: RequestRecord, target: Target) -> Send:
        """Start an attempt."""
        capacity = self.capacities.find(target.id)
        allow_suspected = (
            capacity is not None and capacity.withheld is Held.ONCE
        )
        self.selector.record_sent(target.id)
        self.capacities.count_sent(target.id)
        send = self.table.start(now, record, target)
        return replace(
            send,
            trial=self._can_retry(record, record.sent),
            urgency=compute_urgency(now, record, allow_suspected),
            spent=round(record.compute_elapsed(now), MILLISECOND_DIGITS),
            told=self.notices.find(now, target.id.address),
        )

    def cancel(self, request: str) -> None:
        """Drop a request that waits, or a refusal not yet handed out."""
        self.pending_refusals = [
            refusal
            for refusal in self.pending_refusals
            if refusal.request != request
        ]
        record = self.table.requests.get(request)
        if record is None:
            return
        self.queue.remove(record)
        if record in self.waiting_retries:
            self.waiting_retries.remove(record)
        self.table.end(record, RequestTrigger.LEAVE)

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return len(self.queue) + len(self.waiting_retries)

    def estimate_wait(self, now: float, position: int) -> float:
        """Return the seconds until the request at this position is sent."""
        slots = max(1, self.selector.capacity)
        return self.departures.estimate_wait(
            now,
            position,
            self.selector.latency.mean / slots,
        )

    def estimate_retry(self, record: RequestRecord) -> float:
        """Return the seconds that another attempt takes as a rule."""
        return record.bound_duration(
            self.estimate_duration(record), RETRY_DEADLINE_SHARE
        )

    def estimate_duration(self, record: RequestRecord) -> float:
        """Return the seconds that an attempt of such a request takes.

        Calls that take a tenth of what other requests to the service take
        must not be refused for the length of those; and where a service is
        crowded, requests with little time are served only if they wait as
        long as they are likelier than not to be answered.
        """
        plan = record.arrival.plan
        if plan.aim:
            return self.durations.find(plan).find_quantile(0)
        if self.durations.knows(plan):
            return self.durations.find(plan).find_quantile(LIKELY_DEVIATIONS)
        return self.bound_latency()

    def bound_latency(self) -> float:
        """Return the seconds that few attempts exceed."""
        return self.selector.latency.bound()

    def can_be_trial(self, record: RequestRecord) -> bool:
        """Tell whether the next attempt may try a doubtful target.

        Once a gate has declined it, it goes where it is welcome.
        """
        if record.declined_by:
            return False
        return self._can_retry(record, record.sent + 1)

    def _can_retry(self, record: RequestRecord, sent: int) -> bool:
        """Tell whether one more attempt may follow so many if they fail."""
        plan = record.arrival.plan
        if not (plan.idempotent and record.arrival.replayable):
            return False
        spare = sent < plan.maximum_attempts
        return spare and self.budget.retries.can_take()


def open_service(
    policy: ServicePolicy,
    locality: Locality,
    board: Board,
    random: Random,
) -> ServiceState:
    """Return an empty service."""
    selector = Selector(locality, random)
    return ServiceState(policy, board, selector, RetryBudget(policy))
