"""Admission of new requests and the queue before the slots."""

from functools import partial
from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.model import Step
from hillfield.routing.patience import (
    count_ahead,
    find_turn,
    goes_at_once,
    is_stale,
)
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.placing import place, place_waiting
from hillfield.routing.queues import is_late
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import (
    TOO_MANY,
    Cause,
    describe_expiry,
    refuse,
)
from hillfield.routing.requests import Arrival, Refuse, Verdict, Wait
from hillfield.routing.scarcity import find_scarcity
from hillfield.routing.service import Service

SCAN_INTERVAL: Final = 0.01
WITHOUT_TARGET: Final = Cause(
    EventCode.SERVICE_WITHOUT_TARGET,
    Step.ROUTE,
    'no target of the service is known here',
)


def admit(service: Service, now: float, arrival: Arrival) -> Verdict:
    """Send a new request, queue it or refuse it."""
    service.counters.admitted += 1
    record = service.ledger.open(arrival)
    record.began = now
    cause = _find_cause(service, now, record)
    if cause is not None:
        return refuse(service, record, cause)
    target = None
    record.turn = find_turn(service, record)
    if goes_at_once(service, record.turn):
        target = place(service, now, record)
    if target is None:
        return _enqueue(service, now, record)
    return service.send(now, record, target)


def serve_queue(service: Service, now: float) -> tuple[Verdict, ...]:
    """Send what has found a slot; refuse what has waited in vain."""
    if not len(service.queue):
        return ()
    if not service.may_find_target(now):
        return tuple(
            refuse(service, record, WITHOUT_TARGET)
            for record in service.queue.take_all_that(_is_any)
        )
    return _serve_queue(service, now)


def _serve_queue(service: Service, now: float) -> tuple[Verdict, ...]:
    verdicts: list[Verdict] = []
    if now - service.scanned >= SCAN_INTERVAL:
        service.scanned = now
        verdicts.extend(
            _give_up(service, now, record)
            for record in service.queue.take_all_that(
                partial(_is_in_vain, service, now),
            )
        )
    while len(service.queue):
        target = place_waiting(service, now, service.queue.peek())
        if target is None:
            break
        record = service.queue.pop()
        if _is_late(service, now, record):
            verdicts.append(_refuse_late(service, now, record))
            continue
        verdicts.append(service.send(now, record, target))
    return tuple(verdicts)


def _find_cause(
    service: Service,
    now: float,
    record: RequestRecord,
) -> Cause | None:
    arrival = record.arrival
    if arrival.expires <= now:
        return describe_expiry()
    if not service.may_find_target(now):
        return WITHOUT_TARGET
    delay = service.limiter.delay(
        now,
        arrival.plan.account,
        service.policy.account_rate,
    )
    if delay:
        return Cause(
            EventCode.ACCOUNT_RATE_EXCEEDED,
            Step.ADMIT,
            'the account sends more than its rate',
            delay,
            TOO_MANY,
        )
    return find_scarcity(service, now, record)


def _enqueue(service: Service, now: float, record: RequestRecord) -> Verdict:
    queue = service.queue
    own = queue.waiting(record.arrival.plan.account) + 1
    # In turns, at most `own` requests of each account go before this one.
    turns = own * (queue.accounts() + 1)
    position = 1
    if record.turn.long:
        position = min(count_ahead(service, record.turn) + 1, turns)
    wait = service.expect_wait(now, position)
    if _is_late(service, now + wait, record):
        return _refuse_late(service, now, record)
    cause = _find_excess(service, own, wait)
    if cause is not None:
        return refuse(service, record, cause)
    record.follow(RequestTrigger.QUEUE)
    record.queued_at = now
    queue.push(record)
    return Wait(record.arrival.request)


def _is_any(record: RequestRecord) -> bool:
    return True


def _is_in_vain(
    service: Service,
    now: float,
    record: RequestRecord,
) -> bool:
    if find_scarcity(service, now, record) is not None:
        return True
    late = _is_late(service, now, record)
    return late or is_stale(service, now, record)


def _give_up(
    service: Service,
    now: float,
    record: RequestRecord,
) -> Refuse:
    cause = find_scarcity(service, now, record)
    if cause is None:
        wait = service.expect_wait(now, service.waiting() + 1)
        cause = replace(describe_expiry(), retry_after=wait)
    return refuse(service, record, cause)


def _is_late(service: Service, start: float, record: RequestRecord) -> bool:
    return is_late(start, service.find_usual(record), record)


def _find_excess(service: Service, own: int, wait: float) -> Cause | None:
    """Return why the account's `own`th request may not wait."""
    limit = service.policy.queue_limit
    share = max(1, service.policy.account_share * limit)
    if own > share and len(service.queue) >= own:
        return Cause(
            EventCode.ACCOUNT_SHARE_EXCEEDED,
            Step.ADMIT,
            'the account fills its share of the queue',
            wait,
            TOO_MANY,
        )
    if len(service.queue) < limit:
        return None
    full = Cause(EventCode.QUEUE_FULL, Step.ADMIT, 'too many wait', wait)
    if service.queue.longest() <= own:
        return full
    # Room is made at the cost of the account with the most waiting.
    victim = service.queue.evict()
    service.pending.append(refuse(service, victim, full))
    return None


def _refuse_late(
    service: Service,
    now: float,
    record: RequestRecord,
) -> Refuse:
    cause = Cause(
        EventCode.WAIT_TOO_LONG,
        Step.ADMIT,
        'it would have waited past its deadline',
        service.expect_wait(now, service.waiting() + 1),
    )
    return refuse(service, record, cause)
