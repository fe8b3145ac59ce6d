"""Decide which requests go to the target, which wait, which are refused."""

from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.gate.limit import show_rate
from hillfield.gate.order import Rank
from hillfield.gate.queue import Place
from hillfield.gate.room import count_room, find_wait
from hillfield.gate.shares import is_foreign
from hillfield.gate.state import GateState
from hillfield.gate.suspicion import DOUBT_SCORE, weigh_running
from hillfield.gate.waiting import describe_wait, find_bound
from hillfield.model import Step, Target, Urgency
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import Cause
from hillfield.routing.requests import Arrival, Verdict, Wait

# Seconds after which a refused request may come back.
COME_BACK: Final = 0.05


def _describe(
    detail: str,
    event: EventCode = EventCode.TARGET_DECLINED,
) -> Cause:
    return Cause(
        event,
        Step.ADMIT,
        detail,
        retry_after=COME_BACK,
    )


LEFT: Final = _describe('the target has left')
SHUNNED: Final = _describe(
    'the target is shunned',
    EventCode.TARGET_HELD_BACK,
)
DOUBTED: Final = _describe('the target is suspected')
FULL: Final = _describe('all slots are taken')
LATE: Final = _describe('no slot was free in time')
LIMITED: Final = _describe('the target takes', EventCode.TARGET_LIMITED)
OUTRANKED: Final = _describe('others go first')


def admit(state: GateState, now: float, arrival: Arrival) -> Verdict:
    """Send a request, let it wait, or refuse it: then it has not run."""
    record = state.ledger.open(arrival)
    target = state.target
    if target is None:
        return state.refuse(record, LEFT)
    cause = _find_doubt(state, now, record)
    if cause is not None:
        return state.refuse(record, cause)
    if not len(state.queue) and count_room(state, now, target):
        return state.send(now, record, target)
    return _wait(state, now, record, target)


def serve_queue(state: GateState, now: float) -> tuple[Verdict, ...]:
    """Send what has found a slot; refuse what has waited in vain."""
    target = state.target
    if target is None:
        waiting = state.queue.take_all()
        left = tuple(state.refuse(record, LEFT) for record in waiting)
        return (*state.take_declined(), *left)
    verdicts: list[Verdict] = [
        state.refuse(place.record, _explain_late(now, place))
        for place in state.queue.take_late(now)
    ]
    while len(state.queue) and count_room(state, now, target):
        record = state.queue.pop(state.shares.read(now))
        verdicts.append(_serve(state, now, record, target))
    return (*state.take_declined(), *verdicts)


def _explain_late(now: float, place: Place) -> Cause:
    waited = describe_wait(now, place)
    return replace(LATE, detail=f'{LATE.detail}, {waited}')


def _explain_full(state: GateState, now: float, wait: float) -> Cause:
    """Say whether slots or the target's own limit leave no room."""
    rate = state.limit.rate
    turn = state.limit.find_wait(now, len(state.queue))
    if rate is None or turn < wait:
        return replace(FULL, retry_after=wait)
    state.limit.declined += 1
    detail = f'{LIMITED.detail} {show_rate(rate)}'
    return replace(LIMITED, detail=detail, retry_after=wait)


def _serve(
    state: GateState,
    now: float,
    record: RequestRecord,
    target: Target,
) -> Verdict:
    cause = _find_doubt(state, now, record)
    if cause is None:
        return state.send(now, record, target)
    return state.refuse(record, cause)


def _find_doubt(
    state: GateState,
    now: float,
    record: RequestRecord,
) -> Cause | None:
    """Return why the target should not get the request now, if so."""
    plan = record.arrival.plan
    if not state.standing.admits(now, plan):
        return SHUNNED
    if plan.idempotent or plan.urgency >= Urgency.SETTLES:
        return None
    return DOUBTED if weigh_running(state, now) > DOUBT_SCORE else None


def _wait(
    state: GateState,
    now: float,
    record: RequestRecord,
    target: Target,
) -> Verdict:
    rank, wait = _rank(state, now, record, target)
    bound = find_bound(now, record, rank.cost)
    if wait > bound:
        return state.refuse(record, _explain_full(state, now, wait))
    record.follow(RequestTrigger.QUEUE)
    record.queued_at = now
    state.queue.push(record, rank, now + bound)
    _make_way(state, now, target)
    return Wait(record.arrival.request)


def _make_way(state: GateState, now: float, target: Target) -> None:
    """Decline the last in rank if its turn now comes too late.

    Told at once, its caller's node has time for another target.
    """
    last = state.queue.find_last(state.shares.read(now))
    if last is None:
        return
    ahead, place = last
    wait = find_wait(state, now, target, ahead)
    if now + wait > place.until:
        state.queue.remove(place.record)
        cause = replace(OUTRANKED, retry_after=wait)
        state.declined.append(state.refuse(place.record, cause))


def _rank(
    state: GateState,
    now: float,
    record: RequestRecord,
    target: Target,
) -> tuple[Rank, float]:
    """Return what counts for a request's turn, and the seconds until then."""
    plan = record.arrival.plan
    parts = state.shares.read(now)
    usual = state.durations.find(plan).find_quantile(0)
    rank = Rank(
        long=not state.durations.is_quick(plan, state.latency.mean),
        priority=plan.priority,
        expires=record.arrival.expires,
        account=plan.account,
        foreign=is_foreign(plan),
        cost=usual,
    )
    before = state.queue.count_ahead(rank, parts)
    wait = find_wait(state, now, target, before)
    if not plan.aim or plan.spent + wait + usual <= plan.aim:
        return rank, wait
    late = replace(rank, late=True)
    ahead = state.queue.count_ahead(late, parts)
    return late, find_wait(state, now, target, ahead)
