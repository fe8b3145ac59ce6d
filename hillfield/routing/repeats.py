"""Whether a further attempt of a request may follow, and what it costs."""

from typing import Final

from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.readings import Reading
from hillfield.routing.records import RequestRecord
from hillfield.routing.service import Service

UNSENT: Final = frozenset(
    (
        AttemptTrigger.CONNECT_FAILED,
        AttemptTrigger.DECLINED,
        AttemptTrigger.NOTHING_WRITTEN,
    ),
)


def find_hindrance(
    service: Service,
    now: float,
    record: RequestRecord,
    reading: Reading,
) -> str:
    """Return why no further attempt may follow; else take what it costs."""
    if not _may_repeat(record):
        return 'no attempt is left'
    if now + service.need(record) >= record.arrival.expires:
        return 'no time is left'
    if not _take_retry(service, record, reading):
        return 'no repeat is left'
    return ''


def _may_repeat(record: RequestRecord) -> bool:
    plan = record.arrival.plan
    if not record.may_try_again():
        return False
    if record.is_doubtful():
        return plan.idempotent and record.arrival.replayable
    return True


def _take_retry(
    service: Service,
    record: RequestRecord,
    reading: Reading,
) -> bool:
    if reading.trigger is AttemptTrigger.DECLINED:
        # It cost the target nothing; the record bounds how often.
        return True
    if reading.trigger in UNSENT:
        return service.budget.take_unsent()
    account = record.arrival.plan.account
    shed = reading.trigger is AttemptTrigger.SHED
    return service.budget.take_retry(account, shed)
