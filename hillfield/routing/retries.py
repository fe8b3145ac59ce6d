"""Retries: whether another attempt is allowed, and what it costs."""

from typing import Final

from hillfield.routing.classification import Classification
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.records import RequestRecord
from hillfield.routing.service import ServiceState

UNSENT_TRIGGERS: Final = frozenset(
    (
        AttemptTrigger.CONNECT_FAILED,
        AttemptTrigger.DECLINED,
        AttemptTrigger.NOTHING_WRITTEN,
    ),
)
# Gates that are asked to take a repeat before it is given up: each knows its own
# part of the bound alone.
GATES_ASKED: Final = 4


def charge_retry(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    classification: Classification,
) -> str:
    """Charge the budget for a retry; return why it is refused, if it is."""
    if not _may_repeat(record):
        return 'no attempt is left'
    if record.declined_repeats >= GATES_ASKED:
        return "the service's bound on repeats is used up"
    if now + service.estimate_retry(record) >= record.arrival.expires:
        return 'no time is left'
    if not _consume_budget(service, record, classification):
        return 'the retry budget is used up'
    return ''


def _may_repeat(record: RequestRecord) -> bool:
    plan = record.arrival.plan
    if not record.has_attempts_left():
        return False
    if record.is_uncertain():
        return plan.idempotent and record.arrival.replayable
    return True


def _consume_budget(
    service: ServiceState,
    record: RequestRecord,
    classification: Classification,
) -> bool:
    if classification.trigger is AttemptTrigger.DECLINED:
        # A decline costs the target nothing; the record bounds their number.
        return True
    if classification.trigger in UNSENT_TRIGGERS:
        return service.budget.consume_unsent()
    account = record.arrival.plan.account
    shed = classification.trigger is AttemptTrigger.SHED
    return service.budget.consume_retry(account, shed)
