"""How a request continues when one of its attempts ends."""

from typing import Final

from msgspec.structs import replace

from hillfield.model import TargetId
from hillfield.routing.classification import (
    Classification,
    classify_observation,
)
from hillfield.routing.feedback import record_end
from hillfield.routing.hedging import replace_declined
from hillfield.routing.phases import (
    AttemptAction,
    AttemptPhase,
    AttemptTrigger,
    RequestTrigger,
)
from hillfield.routing.placement import select_freed_target
from hillfield.routing.queues import get_queue_order
from hillfield.routing.ratelimits import find_rate_limit_cause
from hillfield.routing.records import AttemptRecord, RequestRecord
from hillfield.routing.refusals import (
    describe_expiry,
    describe_failed_attempt,
    refuse,
)
from hillfield.routing.requests import (
    Decision,
    Done,
    Observation,
    Refuse,
    Wait,
)
from hillfield.routing.reselection import choose_again
from hillfield.routing.retries import UNSENT_TRIGGERS, charge_retry
from hillfield.routing.service import ServiceState
from hillfield.routing.waiting import is_stale

# Mean latencies for which the last attempt after a shed waits for a freed slot.
FREED_SLOT_WAIT: Final = 2.0
UNCERTAIN_ACTIONS: Final = frozenset(
    (AttemptAction.MAY_HAVE_RUN, AttemptAction.ABANDON)
)


def finish(
    service: ServiceState,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> Decision:
    """End an attempt and decide how its request continues."""
    record = attempt.record
    classification = classify_observation(observation)
    written = attempt.phase is not AttemptPhase.CONNECTING
    action = attempt.follow(classification.trigger)
    service.table.close(attempt)
    record_end(service, now, attempt, classification, observation)
    service.detector.observe(
        now, attempt.target.id, attempt.number, observation
    )
    if record.has_ended():
        return Done(record.arrival.request)
    if action in UNCERTAIN_ACTIONS:
        record.follow(RequestTrigger.MAY_HAVE_RUN)
    if action is AttemptAction.SETTLE:
        return _settle(service, record, classification)
    if classification.trigger is AttemptTrigger.GONE:
        return _finish_cancelled(service, record)
    record.classification = classification
    record.peer = str(attempt.target.id.address)
    record.any_written |= written
    record.unsent_attempts += classification.trigger in UNSENT_TRIGGERS
    record.declined_repeats += classification.only_repeats
    if classification.trigger is AttemptTrigger.DECLINED:
        record.declined_by = (*record.declined_by, attempt.target.id)
    return _continue(service, now, record, classification)


def _continue(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    classification: Classification,
) -> Decision:
    if record.live:
        # The other attempt may still be answered.
        again = None
        declined = classification.trigger is AttemptTrigger.DECLINED
        if declined and not classification.only_repeats:
            again = replace_declined(service, now, record)
        return again or Wait(record.arrival.request)
    if record.any_written and not record.arrival.replayable:
        return refuse(service, record, describe_failed_attempt(classification))
    return recover(service, now, record, classification)


def recover(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    classification: Classification,
) -> Decision:
    """Start the next attempt, let it wait for a slot, or refuse the request."""
    excluded = _find_excluded(service, record, classification)
    if excluded is None:
        return _give_up(service, record, classification, 'no other target')
    obstacle = charge_retry(service, now, record, classification)
    if obstacle:
        return _give_up(service, record, classification, obstacle)
    limit_cause = find_rate_limit_cause(service, now, record)
    if limit_cause is not None:
        return refuse(service, record, limit_cause)
    service.counters.retries += 1
    if not _awaits_freed_slot(record, classification):
        target = choose_again(service, now, record, excluded)
        if target is not None:
            return service.send(now, record, target)
    record.follow(RequestTrigger.QUEUE)
    record.queued_at = now
    service.waiting_retries.append(record)
    return Wait(record.arrival.request)


def serve_retries(service: ServiceState, now: float) -> tuple[Decision, ...]:
    """Send waiting retries to free slots, in queue order."""
    decisions: list[Decision] = []
    waiting = sorted(service.waiting_retries, key=get_queue_order)
    service.waiting_retries.clear()
    for record in waiting:
        decision = _serve_retry(service, now, record)
        if decision is None:
            service.waiting_retries.append(record)
        else:
            decisions.append(decision)
    return tuple(decisions)


def _give_up(
    service: ServiceState,
    record: RequestRecord,
    classification: Classification,
    reason: str,
) -> Refuse:
    cause = describe_failed_attempt(classification)
    detailed = replace(cause, detail=f'{cause.detail}, {reason}')
    return refuse(service, record, detailed)


def _awaits_freed_slot(
    record: RequestRecord, classification: Classification
) -> bool:
    """Return whether the next attempt should wait for a freed slot."""
    last = len(record.tried) >= record.arrival.plan.maximum_attempts - 1
    return last and classification.trigger is AttemptTrigger.SHED


def _serve_retry(
    service: ServiceState,
    now: float,
    record: RequestRecord,
) -> Decision | None:
    limit_cause = find_rate_limit_cause(service, now, record)
    if limit_cause is not None:
        return refuse(service, record, limit_cause)
    late = now + service.estimate_retry(record) >= record.arrival.expires
    if late or is_stale(service, now, record):
        return refuse(service, record, describe_expiry())
    classification = record.classification
    if classification is None:
        return refuse(service, record, describe_expiry())
    excluded = _find_excluded(service, record, classification)
    if excluded is None:
        return refuse(service, record, describe_failed_attempt(classification))
    longest = FREED_SLOT_WAIT * service.selector.latency.mean
    if (
        _awaits_freed_slot(record, classification)
        and now < record.queued_at + longest
    ):
        target = service.selector.choose_freed(now, excluded)
    else:
        freed = select_freed_target(service, now, excluded)
        target = freed or choose_again(service, now, record, excluded)
    return None if target is None else service.send(now, record, target)


def _find_excluded(
    service: ServiceState,
    record: RequestRecord,
    classification: Classification,
) -> tuple[TargetId, ...] | None:
    """Return the targets to exclude; None if no target would be left."""
    selector = service.selector
    selector.adopt(service.detector.rotation())
    if selector.has_other(record.tried):
        return record.tried
    last = record.tried[-1:]
    if selector.has_other(last):
        return last
    if classification.same_target and selector.capacity:
        return ()
    return None


def _settle(
    service: ServiceState,
    record: RequestRecord,
    classification: Classification,
) -> Decision:
    service.table.end(record, RequestTrigger.SETTLE)
    if classification.trigger is AttemptTrigger.ANSWERED:
        account = record.arrival.plan.account
        service.budget.record_answered(service.policy, account)
    return Done(record.arrival.request)


def _finish_cancelled(service: ServiceState, record: RequestRecord) -> Decision:
    if not record.live:
        service.table.end(record, RequestTrigger.LEAVE)
    return Done(record.arrival.request)
