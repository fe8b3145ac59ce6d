"""Whether a further attempt of a request may follow, and what it costs."""

from typing import Final

from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.readings import Classification
from hillfield.routing.records import RequestRecord
from hillfield.routing.service import ServiceState

UNSENT_TRIGGERS: Final = frozenset(
    (
        AttemptTrigger.CONNECT_FAILED,
        AttemptTrigger.DECLINED,
        AttemptTrigger.NOTHING_WRITTEN,
    ),
)


def charge_retry(
    service: ServiceState,
    now: float,
    record: RequestRecord,
    classification: Classification,
) -> str:
    """Return why no further attempt may follow; else take what it costs."""
    if not _may_repeat(record):
        return 'no attempt is left'
    if now + service.estimate_retry(record) >= record.arrival.expires:
        return 'no time is left'
    if not _consume_budget(service, record, classification):
        return 'no repeat is left'
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
        # It cost the target nothing; the record bounds how often.
        return True
    if classification.trigger in UNSENT_TRIGGERS:
        return service.budget.consume_unsent()
    account = record.arrival.plan.account
    shed = classification.trigger is AttemptTrigger.SHED
    return service.budget.consume_retry(account, shed)
