"""Decide which requests are sent to the target, wait, or are refused."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.gate.capacity import count_free_slots, estimate_wait
from hillfield.gate.limit import format_rate
from hillfield.gate.order import Rank
from hillfield.gate.queue import QueuedRequest
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import SUSPICION_SCORE, score_running
from hillfield.gate.usage import is_service_call
from hillfield.gate.waiting import compute_wait_limit, describe_wait
from hillfield.model import RepeatKind, RequestPlan, Step, Target, Urgency
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import Cause
from hillfield.routing.requests import Arrival, Decision, Wait

# Seconds after which a refused request may be tried here again.
RETRY_AFTER_SECONDS: Final = 0.05
# Share of a called service's slack that has to be left before a run that calls
# it is repeated: calls of repeats that already run use it, and can't be declined.
CALLS_RESERVED: Final[Mapping[RepeatKind, float]] = MappingProxyType(
    {RepeatKind.RETRY: 0.2, RepeatKind.HEDGE: 0.35},
)
# Parts of the slack that a gate may borrow: what it knows of the others may be as
# old as the last report that reached it.
LARGEST_LOAN: Final[float] = 1
# Share of the slack that the gates of the service have to have left, on average,
# before one sends more than its own part: their reports are some tenths of a
# second old.
BORROWED: Final[Mapping[RepeatKind, float]] = MappingProxyType(
    {RepeatKind.RETRY: 0.1, RepeatKind.HEDGE: 0.35},
)


def _build_cause(
    detail: str,
    event: EventCode = EventCode.TARGET_DECLINED,
) -> Cause:
    return Cause(
        event,
        Step.ADMIT,
        detail,
        retry_after=RETRY_AFTER_SECONDS,
    )


LEFT: Final = _build_cause('the target has left')
QUARANTINED: Final = _build_cause(
    'the target is quarantined',
    EventCode.TARGET_HELD_BACK,
)
SUSPECTED: Final = _build_cause('the target is suspected')
FULL: Final = _build_cause('all slots are taken')
EXPIRED: Final = _build_cause('no slot was free in time')
REPEATS_USED: Final = _build_cause(
    "the service's bound on repeats is used up",
    EventCode.REPEAT_DECLINED,
)
LIMITED: Final = _build_cause('the target takes', EventCode.TARGET_LIMITED)
OUTRANKED: Final = _build_cause('others go first')


def admit(state: GateState, now: float, arrival: Arrival) -> Decision:
    """Send a request, queue it, or refuse it: then it has not run."""
    record = state.table.open(arrival)
    target = state.target
    if target is None:
        return state.refuse(record, LEFT)
    cause = _find_refusal(state, now, record)
    if cause is not None:
        return state.refuse(record, cause)
    if not len(state.queue) and count_free_slots(state, now, target):
        return state.send(now, record, target)
    return _enqueue(state, now, record, target)


def serve_queue(state: GateState, now: float) -> tuple[Decision, ...]:
    """Send the waiting requests that have a slot; refuse the expired ones."""
    target = state.target
    if target is None:
        waiting = state.queue.pop_all()
        left = tuple(state.refuse(record, LEFT) for record in waiting)
        return (*state.pop_displaced(), *left)
    decisions: list[Decision] = [
        state.refuse(queued.record, _describe_expiry(now, queued))
        for queued in state.queue.pop_expired(now)
    ]
    while len(state.queue) and count_free_slots(state, now, target):
        record = state.queue.pop(state.usage.list_usage(now))
        decisions.append(_serve(state, now, record, target))
    return (*state.pop_displaced(), *decisions)


def _describe_expiry(now: float, queued: QueuedRequest) -> Cause:
    wait_text = describe_wait(now, queued)
    return replace(EXPIRED, detail=f'{EXPIRED.detail}, {wait_text}')


def _describe_full(state: GateState, now: float, wait: float) -> Cause:
    """Say whether the slots or the target's rate limit allow no request."""
    rate = state.limit.rate
    limit_wait = state.limit.estimate_wait(now, len(state.queue))
    if rate is None or limit_wait < wait:
        return replace(FULL, retry_after=wait)
    state.limit.declined += 1
    detail = f'{LIMITED.detail} {format_rate(rate)}'
    return replace(LIMITED, detail=detail, retry_after=wait)


def _serve(
    state: GateState,
    now: float,
    record: RequestRecord,
    target: Target,
) -> Decision:
    cause = _find_refusal(state, now, record)
    if cause is None:
        return state.send(now, record, target)
    return state.refuse(record, cause)


def _find_refusal(
    state: GateState,
    now: float,
    record: RequestRecord,
) -> Cause | None:
    """Return why the request should not be sent to the target, or None."""
    plan = record.arrival.plan
    if not _covers_repeat(state, now, plan):
        return REPEATS_USED
    if not state.health.admits(now, plan):
        return QUARANTINED
    if plan.idempotent or plan.urgency >= Urgency.ALLOW_SUSPECTED:
        return None
    return SUSPECTED if score_running(state, now) > SUSPICION_SCORE else None


def _covers_repeat(state: GateState, now: float, plan: RequestPlan) -> bool:
    """Return whether the bounds on repeats cover one, and the calls it makes."""
    kind = plan.repeat
    if kind is None or kind is RepeatKind.CALL:
        return True
    if not state.repeats.admits(now, kind):
        share = state.find_share(now, plan.service)
        if share is None or share < BORROWED[kind]:
            return False
        if state.repeats.compute_share(now) <= -LARGEST_LOAN:
            return False
    shares = (
        state.find_share(now, service)
        for service in state.call_parents.list_called(now, plan.route)
    )
    return all(
        share is None or share >= CALLS_RESERVED[kind] for share in shares
    )


def _enqueue(
    state: GateState,
    now: float,
    record: RequestRecord,
    target: Target,
) -> Decision:
    rank, wait = _compute_rank(state, now, record, target)
    wait_limit = compute_wait_limit(now, record, rank.cost)
    if wait > wait_limit:
        return state.refuse(record, _describe_full(state, now, wait))
    record.follow(RequestTrigger.QUEUE)
    record.queued_at = now
    state.queue.push(record, rank, now + wait_limit)
    _displace_last(state, now, target)
    return Wait(record.arrival.request)


def _displace_last(state: GateState, now: float, target: Target) -> None:
    """Decline the last request in order if it would now wait too long.

    It is declined at once, so that the node of its caller still has time to
    choose another target.
    """
    last = state.queue.select_displaced(state.usage.list_usage(now))
    if last is None:
        return
    ahead, queued = last
    wait = estimate_wait(state, now, target, ahead)
    if now + wait > queued.wait_until:
        state.queue.remove(queued.record)
        cause = replace(OUTRANKED, retry_after=wait)
        state.displaced.append(state.refuse(queued.record, cause))


def _compute_rank(
    state: GateState,
    now: float,
    record: RequestRecord,
    target: Target,
) -> tuple[Rank, float]:
    """Return the request's rank, and the seconds that it would wait."""
    plan = record.arrival.plan
    account_usage = state.usage.list_usage(now)
    duration = state.durations.find(plan).find_quantile(0)
    rank = Rank(
        long=not state.durations.is_quick(plan, state.latency.mean),
        priority=plan.priority,
        expires=record.arrival.expires,
        account=plan.account,
        service_call=is_service_call(plan),
        cost=duration,
    )
    ahead_in_time = state.queue.count_ahead(rank, account_usage)
    wait = estimate_wait(state, now, target, ahead_in_time)
    if not plan.aim or plan.spent + wait + duration <= plan.aim:
        return rank, wait
    late_rank = replace(rank, late=True)
    ahead = state.queue.count_ahead(late_rank, account_usage)
    return late_rank, estimate_wait(state, now, target, ahead)
