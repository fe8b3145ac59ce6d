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
from hillfield.routing.pace import Pace
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.queues import FairQueue
from hillfield.routing.records import Ledger, RequestRecord
from hillfield.routing.reluctance import Reluctance
from hillfield.routing.remembering import Notices
from hillfield.routing.requests import Refuse, Send
from hillfield.routing.rooms import Rooms
from hillfield.routing.selection import Selector
from hillfield.routing.urgency import find_urgency

# A retry is worth a try when it may be quicker than most.
SHARE_OF_RETRY: Final = 0.5

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
class Service:
    """Hold the parts that decide for one service.

    `retries` are requests whose next attempt waits for a slot, `pending`
    refusals that the next poll hands out, `barren_since` is when no target
    was first found (None: there are some).
    """

    policy: ServicePolicy
    board: Board
    selector: Selector
    budget: RetryBudget
    ledger: Ledger = field(default_factory=Ledger)
    limiter: RateLimiter = field(default_factory=RateLimiter)
    queue: FairQueue = field(default_factory=FairQueue)
    pace: Pace = field(default_factory=Pace)
    retries: deque[RequestRecord] = field(default_factory=deque)
    pending: list[Refuse] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters)
    reluctance: Reluctance = field(default_factory=Reluctance)
    durations: Durations = field(default_factory=Durations)
    rooms: Rooms = field(default_factory=Rooms)
    notices: Notices = field(default_factory=Notices)
    scanned: float = 0
    barren_since: float | None = None

    def may_find_target(self, now: float) -> bool:
        """Tell whether targets are known, or may soon be."""
        self.selector.adopt(self.board.rotation())
        if self.selector.capacity:
            self.barren_since = None
            return True
        if self.barren_since is None:
            self.barren_since = now
        return now - self.barren_since < self.policy.patience

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
        held = () if trial else self.reluctance.list_targets(now)
        found = self.selector.choose(now, (*excluded, *held), near=near)
        if found is None and held:
            return self.selector.choose(now, excluded, near=near)
        return found

    def list_held(
        self,
        now: float,
        record: RequestRecord,
    ) -> tuple[TargetId, ...]:
        """Return the targets whose gates hold such work back.

        What a gate has told itself goes before what its declines have said.
        """
        trial = self.is_trial(record)
        told = self.rooms.list_held(now, record.arrival.plan, trial)
        if trial:
            return told
        declining = self.reluctance.list_targets(now)
        untold = (
            target for target in declining if self.rooms.find(target) is None
        )
        return (*told, *untold)

    def send(self, now: float, record: RequestRecord, target: Target) -> Send:
        """Start an attempt."""
        room = self.rooms.find(target.id)
        settles = room is not None and room.held is Held.ONCE
        self.selector.note_sent(target.id)
        self.rooms.take(target.id)
        send = self.ledger.start(now, record, target)
        return replace(
            send,
            trial=self._may_follow(record, record.sent),
            urgency=find_urgency(now, record, settles),
            spent=round(record.find_spent(now), MILLISECOND_DIGITS),
            told=self.notices.find(now, target.id.address),
        )

    def forget(self, request: str) -> None:
        """Drop a request that waits, or a refusal not yet handed out."""
        self.pending = [
            refusal for refusal in self.pending if refusal.request != request
        ]
        record = self.ledger.requests.get(request)
        if record is None:
            return
        self.queue.remove(record)
        if record in self.retries:
            self.retries.remove(record)
        self.ledger.end(record, RequestTrigger.LEAVE)

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self.queue) + len(self.retries)

    def expect_wait(self, now: float, position: int) -> float:
        """Return the seconds until the request at this position is sent."""
        slots = max(1, self.selector.capacity)
        return self.pace.expect_wait(
            now,
            position,
            self.selector.latency.mean / slots,
        )

    def need(self, record: RequestRecord) -> float:
        """Return the seconds that another attempt takes as a rule."""
        return record.bound_need(self.find_usual(record), SHARE_OF_RETRY)

    def find_usual(self, record: RequestRecord) -> float:
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
        return self.latency()

    def latency(self) -> float:
        """Return the seconds that few attempts exceed."""
        return self.selector.latency.bound()

    def is_trial(self, record: RequestRecord) -> bool:
        """Tell whether the next attempt may try a doubtful target.

        Once a gate has declined it, it goes where it is welcome.
        """
        if record.declined:
            return False
        return self._may_follow(record, record.sent + 1)

    def _may_follow(self, record: RequestRecord, sent: int) -> bool:
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
) -> Service:
    """Return an empty service."""
    selector = Selector(locality, random)
    return Service(policy, board, selector, RetryBudget(policy))
