"""State that one node keeps for the traffic of one service."""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from msgspec.structs import replace

from hillfield.detection.detector import Detector
from hillfield.loadreports.reports import WithheldWork
from hillfield.model import (
    Locality,
    RepeatKind,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing.budgets import RateLimiter, RetryBudget
from hillfield.routing.capacity import CapacityTable, RepeatShares
from hillfield.routing.departures import DepartureIntervals
from hillfield.routing.durations import RouteDurations
from hillfield.routing.notices import ReceivedNotices
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.queues import FairQueue
from hillfield.routing.recentdeclines import RecentDeclines
from hillfield.routing.records import RequestRecord, RequestTable
from hillfield.routing.requests import Refuse, Send
from hillfield.routing.selection import Selector
from hillfield.routing.urgency import compute_urgency

# Largest share of a request's deadline that a retry is assumed to take: a retry
# may be quicker than most attempts, so it is tried with less time left.
RETRY_DEADLINE_SHARE: Final = 0.5

# Standard deviations above the median by which nine in ten attempts are
# answered. Requests sent with less time left end with an unknown outcome too
# often.
LIKELY_DEVIATIONS: Final = 1.28

MILLISECOND_DIGITS: Final = 3


@dataclass(slots=True)
class Counters:
    """Count requests, retries, hedges and outcomes since the node started."""

    admitted: int = 0
    refused: int = 0
    retries: int = 0
    hedges: int = 0
    unknown: int = 0


@dataclass(slots=True)
class ServiceState:
    """Hold the state that the decisions for one service share.

    `waiting_retries` are requests whose next attempt waits for a slot,
    `pending_refusals` are returned by the next poll, `scanned_at` is when the
    queue was last searched for requests to refuse, `without_target_since` is
    the time since which no target has been known (None: some are known).
    """

    policy: ServicePolicy
    detector: Detector
    selector: Selector
    budget: RetryBudget
    table: RequestTable = field(default_factory=RequestTable)
    limiter: RateLimiter = field(default_factory=RateLimiter)
    queue: FairQueue = field(default_factory=FairQueue)
    departures: DepartureIntervals = field(default_factory=DepartureIntervals)
    waiting_retries: deque[RequestRecord] = field(default_factory=deque)
    pending_refusals: list[Refuse] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters)
    recent_declines: RecentDeclines = field(default_factory=RecentDeclines)
    durations: RouteDurations = field(default_factory=RouteDurations)
    capacities: CapacityTable = field(default_factory=CapacityTable)
    notices: ReceivedNotices = field(default_factory=ReceivedNotices)
    repeat_shares: RepeatShares = field(default_factory=RepeatShares)
    scanned_at: float = 0
    without_target_since: float | None = None

    def expects_target(self, now: float) -> bool:
        """Return whether targets are known or may become known soon."""
        self.selector.adopt(self.detector.rotation())
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

        A target whose gate declined recently is chosen last, except for a
        trial, which such a gate may be waiting for.
        """
        self.selector.adopt(self.detector.rotation())
        declined = () if trial else self.recent_declines.list_targets(now)
        found = self.selector.choose(now, (*excluded, *declined), near=near)
        if found is None and declined:
            return self.selector.choose(now, excluded, near=near)
        return found

    def list_withholding(
        self,
        now: float,
        record: RequestRecord,
    ) -> tuple[TargetId, ...]:
        """Return the targets whose gates withhold this kind of work.

        A gate's own report takes precedence over its recent declines.
        """
        trial = self.can_be_trial(record)
        reported = self.capacities.list_withholding(
            now, record.arrival.plan, trial
        )
        if trial:
            return reported
        declining = self.recent_declines.list_targets(now)
        unreported = (
            target
            for target in declining
            if self.capacities.find(target) is None
        )
        return (*reported, *unreported)

    def send(self, now: float, record: RequestRecord, target: Target) -> Send:
        """Start an attempt of the request at the target."""
        capacity = self.capacities.find(target.id)
        allow_suspected = (
            capacity is not None and capacity.withheld is WithheldWork.ONCE
        )
        self.selector.record_sent(target.id)
        self.capacities.count_sent(target.id)
        repeat = _classify_repeat(record)
        send = self.table.start(now, record, target)
        return replace(
            send,
            trial=self._can_retry(record, record.sent),
            urgency=compute_urgency(now, record, allow_suspected),
            spent=round(record.compute_elapsed(now), MILLISECOND_DIGITS),
            notice=self.notices.find(now, target.id.address),
            repeat=repeat,
        )

    def drop(self, request: str) -> None:
        """Drop a waiting request or a refusal that no poll has returned."""
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
        """Return how many requests wait for a slot."""
        return len(self.queue) + len(self.waiting_retries)

    def estimate_wait(self, now: float, position: int) -> float:
        """Estimate the seconds until the request at this position is sent."""
        slots = max(1, self.selector.capacity)
        return self.departures.estimate_wait(
            now,
            position,
            self.selector.latency.mean / slots,
        )

    def estimate_retry(self, record: RequestRecord) -> float:
        """Estimate the seconds that one more attempt of the request takes."""
        return record.bound_duration(
            self.estimate_duration(record), RETRY_DEADLINE_SHARE
        )

    def estimate_duration(self, record: RequestRecord) -> float:
        """Estimate the seconds that an attempt of such a request takes.

        The estimate is per route: requests that take a tenth of the service's
        usual duration must not be refused because others take long. With a
        latency objective (`aim`) it is the median, so that under overload
        requests with little time left wait as long as an answer in time is
        more likely than not.
        """
        plan = record.arrival.plan
        if plan.aim:
            return self.durations.find(plan).find_quantile(0)
        if self.durations.is_measured(plan):
            return self.durations.find(plan).find_quantile(LIKELY_DEVIATIONS)
        return self.bound_latency()

    def bound_latency(self) -> float:
        """Return a latency in seconds that few attempts exceed."""
        return self.selector.latency.bound()

    def can_be_trial(self, record: RequestRecord) -> bool:
        """Return whether the next attempt may be a trial.

        A request that a gate has declined is no longer used for trials.
        """
        if record.declined_by:
            return False
        return self._can_retry(record, record.sent + 1)

    def _can_retry(self, record: RequestRecord, sent: int) -> bool:
        """Return whether another attempt may follow `sent` failed ones."""
        plan = record.arrival.plan
        if not (plan.idempotent and record.arrival.replayable):
            return False
        spare = sent < plan.maximum_attempts
        return spare and self.budget.retries.can_consume()


def _classify_repeat(record: RequestRecord) -> RepeatKind | None:
    """Return why the next attempt is a repeat; None: the first arrival."""
    if record.live:
        return RepeatKind.HEDGE
    if record.sent:
        return RepeatKind.RETRY
    return record.arrival.plan.repeat


def open_service(
    policy: ServicePolicy,
    locality: Locality,
    detector: Detector,
    random: Random,
) -> ServiceState:
    """Return the state of a service that has had no traffic."""
    selector = Selector(locality, random)
    return ServiceState(policy, detector, selector, RetryBudget(policy))
