"""Admission of new requests, and the queue of those that wait for a slot."""

from functools import partial
from typing import Final

from msgspec.structs import replace

from hillfield.events import EventCode
from hillfield.model import Step
from hillfield.routing.phases import RequestTrigger
from hillfield.routing.placement import select_for_waiting, select_target
from hillfield.routing.queues import is_late
from hillfield.routing.ratelimits import find_rate_limit_cause
from hillfield.routing.records import RequestRecord
from hillfield.routing.refusals import (
    TOO_MANY,
    Cause,
    describe_expiry,
    refuse,
)
from hillfield.routing.requests import Arrival, Decision, Refuse, Wait
from hillfield.routing.service import ServiceState
from hillfield.routing.waiting import (
    compute_queue_order,
    count_ahead,
    is_stale,
    precedes_waiting,
)

# Least seconds between two searches of the queue for requests to refuse.
SCAN_INTERVAL: Final = 0.01
NO_TARGET: Final = Cause(
    EventCode.SERVICE_WITHOUT_TARGET,
    Step.ROUTE,
    'no target of the service is known here',
)


def admit(service: ServiceState, now: float, arrival: Arrival) -> Decision:
    """Send a new request, queue it or refuse it."""
    service.counters.admitted += 1
    record = service.table.open(arrival)
    record.started = now
    cause = _find_refusal_cause(service, now, record)
    if cause is not None:
        return refuse(service, record, cause)
    target = None
    record.queue_order = compute_queue_order(service, record)
    if precedes_waiting(service, record.queue_order):
        target = select_target(service, now, record)
    if target is None:
        return _enqueue(service, now, record)
    return service.send(now, record, target)


def serve_queue(service: ServiceState, now: float) -> tuple[Decision, ...]:
    """Send queued requests to free slots; refuse those that can't succeed."""
    if not len(service.queue):
        return ()
    if not service.expects_target(now):
        return tuple(
            refuse(service, record, NO_TARGET)
            for record in service.queue.remove_matching(_is_any)
        )
    return _serve_queue(service, now)


def _serve_queue(service: ServiceState, now: float) -> tuple[Decision, ...]:
    decisions: list[Decision] = []
    if now - service.scanned_at >= SCAN_INTERVAL:
        service.scanned_at = now
        decisions.extend(
            _refuse_hopeless(service, now, record)
            for record in service.queue.remove_matching(
                partial(_is_hopeless, service, now),
            )
        )
    while len(service.queue):
        target = select_for_waiting(service, now, service.queue.peek())
        if target is None:
            break
        record = service.queue.pop()
        if _is_late(service, now, record):
            decisions.append(_refuse_late(service, now, record))
            continue
        decisions.append(service.send(now, record, target))
    return tuple(decisions)


def _find_refusal_cause(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Cause | None:
    arrival = record.arrival
    if arrival.expires <= now:
        return describe_expiry()
    if not service.expects_target(now):
        return NO_TARGET
    delay = service.limiter.consume_or_delay(
        now,
        arrival.plan.account,
        service.policy.account_rate,
    )
    if delay:
        return Cause(
            EventCode.ACCOUNT_RATE_EXCEEDED,
            Step.ADMIT,
            'the account exceeds its request rate',
            delay,
            TOO_MANY,
        )
    return find_rate_limit_cause(service, now, record)


def _enqueue(
    service: ServiceState, now: float, record: RequestRecord
) -> Decision:
    queue = service.queue
    own = queue.count_waiting(record.arrival.plan.account) + 1
    # `own` counts the account's waiting requests and this one. Accounts are
    # served round robin, so that at most `own` requests of each account
    # precede it.
    fair_position = own * (queue.count_accounts() + 1)
    position = 1
    if record.queue_order.long:
        position = min(
            count_ahead(service, record.queue_order) + 1, fair_position
        )
    wait = service.estimate_wait(now, position)
    if _is_late(service, now + wait, record):
        return _refuse_late(service, now, record)
    cause = _find_queue_limit_cause(service, own, wait)
    if cause is not None:
        return refuse(service, record, cause)
    record.follow(RequestTrigger.QUEUE)
    record.queued_at = now
    queue.push(record)
    return Wait(record.arrival.request)


def _is_any(record: RequestRecord) -> bool:
    return True


def _is_hopeless(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> bool:
    if find_rate_limit_cause(service, now, record) is not None:
        return True
    late = _is_late(service, now, record)
    return late or is_stale(service, now, record)


def _refuse_hopeless(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Refuse:
    cause = find_rate_limit_cause(service, now, record)
    if cause is None:
        wait = service.estimate_wait(now, service.count_waiting() + 1)
        cause = replace(describe_expiry(), retry_after=wait)
    return refuse(service, record, cause)


def _is_late(
    service: ServiceState, start: float, record: RequestRecord
) -> bool:
    return is_late(start, service.estimate_duration(record), record)


def _find_queue_limit_cause(
    service: ServiceState, own: int, wait: float
) -> Cause | None:
    """Return why the account's `own`th waiting request is refused, if it is."""
    limit = service.policy.queue_limit
    share = max(1, service.policy.account_share * limit)
    if own > share and len(service.queue) >= own:
        return Cause(
            EventCode.ACCOUNT_SHARE_EXCEEDED,
            Step.ADMIT,
            'the account has used up its share of the queue',
            wait,
            TOO_MANY,
        )
    if len(service.queue) < limit:
        return None
    full = Cause(EventCode.QUEUE_FULL, Step.ADMIT, 'the queue is full', wait)
    if service.queue.longest_length() <= own:
        return full
    # The account with the most waiting requests loses its last one.
    evicted = service.queue.evict()
    service.pending_refusals.append(refuse(service, evicted, full))
    return None


def _refuse_late(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Refuse:
    cause = Cause(
        EventCode.WAIT_TOO_LONG,
        Step.ADMIT,
        'the expected wait exceeds the deadline',
        service.estimate_wait(now, service.count_waiting() + 1),
    )
    return refuse(service, record, cause)
