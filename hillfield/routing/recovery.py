"""What becomes of a request when an attempt ends."""

from typing import Final

from msgspec.structs import replace

from hillfield.model import TargetId
from hillfield.routing.hedging import hedge_again
from hillfield.routing.placing import choose_freed
from hillfield.routing.patience import is_stale
from hillfield.routing.phases import (
    AttemptAction,
    AttemptPhase,
    AttemptTrigger,
    RequestTrigger,
)
from hillfield.routing.queues import read_turn
from hillfield.routing.readings import Reading, read_observation
from hillfield.routing.records import AttemptRecord, RequestRecord
from hillfield.routing.refusals import (
    describe_expiry,
    describe_reading,
    refuse,
)
from hillfield.routing.repeats import UNSENT, find_hindrance
from hillfield.routing.requests import (
    Done,
    Observation,
    Refuse,
    Verdict,
    Wait,
)
from hillfield.routing.reselection import choose_again
from hillfield.routing.scarcity import find_scarcity
from hillfield.routing.service import Service
from hillfield.routing.telling import tell_ending

PATIENCE: Final = 2.0
DOUBTFUL: Final = frozenset((AttemptAction.DOUBT, AttemptAction.ABANDON))


def finish(
    service: Service,
    now: float,
    attempt: AttemptRecord,
    observation: Observation,
) -> Verdict:
    """End an attempt and decide what becomes of its request."""
    record = attempt.record
    reading = read_observation(observation)
    written = attempt.phase is not AttemptPhase.CONNECTING
    action = attempt.follow(reading.trigger)
    service.ledger.close(attempt)
    tell_ending(service, now, attempt, reading, observation)
    service.board.observe(now, attempt.target.id, attempt.number, observation)
    if record.has_ended():
        return Done(record.arrival.request)
    if action in DOUBTFUL:
        record.follow(RequestTrigger.DOUBT)
    if action is AttemptAction.SETTLE:
        return _settle(service, record, reading)
    if reading.trigger is AttemptTrigger.GONE:
        return _cut(service, record)
    record.reading = reading
    record.peer = str(attempt.target.id.address)
    record.consumed |= written
    record.unsent += reading.trigger in UNSENT
    if reading.trigger is AttemptTrigger.DECLINED:
        record.declined = (*record.declined, attempt.target.id)
    return _continue(service, now, record, reading)


def _continue(
    service: Service,
    now: float,
    record: RequestRecord,
    reading: Reading,
) -> Verdict:
    if record.live:
        # The other attempt may still bring the answer.
        again = None
        if reading.trigger is AttemptTrigger.DECLINED:
            again = hedge_again(service, now, record)
        return again or Wait(record.arrival.request)
    if record.consumed and not record.arrival.replayable:
        return refuse(service, record, describe_reading(reading))
    return recover(service, now, record, reading)


def recover(
    service: Service,
    now: float,
    record: RequestRecord,
    reading: Reading,
) -> Verdict:
    """Start the next attempt, let it wait for a slot, or give up."""
    excluded = _find_excluded(service, record, reading)
    if excluded is None:
        return _give_up(service, record, reading, 'no other target')
    hindrance = find_hindrance(service, now, record, reading)
    if hindrance:
        return _give_up(service, record, reading, hindrance)
    scarcity = find_scarcity(service, now, record)
    if scarcity is not None:
        return refuse(service, record, scarcity)
    service.counters.retries += 1
    if not _is_patient(record, reading):
        target = choose_again(service, now, record, excluded)
        if target is not None:
            return service.send(now, record, target)
    record.follow(RequestTrigger.QUEUE)
    record.queued_at = now
    service.retries.append(record)
    return Wait(record.arrival.request)


def serve_retries(service: Service, now: float) -> tuple[Verdict, ...]:
    """Send the retries that have found a slot, in their turns."""
    verdicts: list[Verdict] = []
    waiting = sorted(service.retries, key=read_turn)
    service.retries.clear()
    for record in waiting:
        verdict = _serve_retry(service, now, record)
        if verdict is None:
            service.retries.append(record)
        else:
            verdicts.append(verdict)
    return tuple(verdicts)


def _give_up(
    service: Service,
    record: RequestRecord,
    reading: Reading,
    reason: str,
) -> Refuse:
    cause = describe_reading(reading)
    told = replace(cause, detail=f'{cause.detail}, {reason}')
    return refuse(service, record, told)


def _is_patient(record: RequestRecord, reading: Reading) -> bool:
    """Tell whether the next attempt should wait for a slot known as free."""
    last = len(record.tried) >= record.arrival.plan.maximum_attempts - 1
    return last and reading.trigger is AttemptTrigger.SHED


def _serve_retry(
    service: Service,
    now: float,
    record: RequestRecord,
) -> Verdict | None:
    scarcity = find_scarcity(service, now, record)
    if scarcity is not None:
        return refuse(service, record, scarcity)
    late = now + service.need(record) >= record.arrival.expires
    if late or is_stale(service, now, record):
        return refuse(service, record, describe_expiry())
    reading = record.reading
    if reading is None:
        return refuse(service, record, describe_expiry())
    excluded = _find_excluded(service, record, reading)
    if excluded is None:
        return refuse(service, record, describe_reading(reading))
    patience = PATIENCE * service.selector.latency.mean
    if _is_patient(record, reading) and now < record.queued_at + patience:
        target = service.selector.choose_freed(now, excluded)
    else:
        freed = choose_freed(service, now, excluded)
        target = freed or choose_again(service, now, record, excluded)
    return None if target is None else service.send(now, record, target)


def _find_excluded(
    service: Service,
    record: RequestRecord,
    reading: Reading,
) -> tuple[TargetId, ...] | None:
    """Return the targets not to try; None when no target is left to try."""
    selector = service.selector
    selector.adopt(service.board.rotation())
    if selector.has_other(record.tried):
        return record.tried
    last = record.tried[-1:]
    if selector.has_other(last):
        return last
    if reading.same_target and selector.capacity:
        return ()
    return None


def _settle(
    service: Service,
    record: RequestRecord,
    reading: Reading,
) -> Verdict:
    service.ledger.end(record, RequestTrigger.SETTLE)
    if reading.trigger is AttemptTrigger.ANSWERED:
        account = record.arrival.plan.account
        service.budget.note_answered(service.policy, account)
    return Done(record.arrival.request)


def _cut(service: Service, record: RequestRecord) -> Verdict:
    if not record.live:
        service.ledger.end(record, RequestTrigger.LEAVE)
    return Done(record.arrival.request)
