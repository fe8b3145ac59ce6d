"""Failures with which the dispatcher ends requests."""

from http import HTTPStatus
from typing import Final

from msgspec import Struct

from hillfield.events import EventCode
from hillfield.model import Outcome, RequestFailure, Step
from hillfield.routing.classification import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    Classification,
)
from hillfield.routing.phases import RequestAction, RequestTrigger
from hillfield.routing.records import RequestRecord, RequestTable
from hillfield.routing.requests import Refuse
from hillfield.routing.service import ServiceState

UNAVAILABLE: Final[int] = HTTPStatus.SERVICE_UNAVAILABLE
TOO_MANY: Final[int] = HTTPStatus.TOO_MANY_REQUESTS
# Seconds after which callers may retry.
DEFAULT_RETRY_AFTER: Final = 1.0
SHORTEST_RETRY_AFTER: Final = 0.05


class Cause(Struct, frozen=True):
    """Hold why a request is refused.

    `status` answers a request that did not run, `uncertain_status` one that may
    have run.
    """

    event: EventCode
    step: Step
    detail: str
    retry_after: float = DEFAULT_RETRY_AFTER
    status: int = UNAVAILABLE
    uncertain_status: int = BAD_GATEWAY


def describe_failed_attempt(classification: Classification) -> Cause:
    """Return the cause of a refusal that follows a failed attempt."""
    return Cause(
        classification.event,
        classification.step,
        classification.detail,
        classification.retry_after or DEFAULT_RETRY_AFTER,
        uncertain_status=classification.status,
    )


def describe_expiry() -> Cause:
    """Return the cause for a wait too long for an answer in time."""
    return Cause(
        EventCode.EXPIRED_IN_QUEUE,
        Step.ADMIT,
        'no slot was free in time',
        uncertain_status=GATEWAY_TIMEOUT,
    )


def refuse(
    service: ServiceState, record: RequestRecord, cause: Cause
) -> Refuse:
    """End a request with a failure and count it."""
    failure = end_refused(service.table, record, cause)
    service.counters.refused += 1
    service.counters.unknown += failure.outcome is Outcome.UNKNOWN
    return Refuse(record.arrival.request, failure)


def end_refused(
    table: RequestTable,
    record: RequestRecord,
    cause: Cause,
) -> RequestFailure:
    """End a request; its chart decides which outcome is reported."""
    action = table.end(record, RequestTrigger.REFUSE)
    if action is RequestAction.TELL_NOT_RUN:
        return _build_failure(record, cause, Outcome.NOT_RUN, cause.status)
    status = cause.uncertain_status
    return _build_failure(record, cause, Outcome.UNKNOWN, status)


def _build_failure(
    record: RequestRecord,
    cause: Cause,
    outcome: Outcome,
    status: int,
) -> RequestFailure:
    retry_after: float | None = max(SHORTEST_RETRY_AFTER, cause.retry_after)
    repeatable = record.arrival.plan.idempotent
    if outcome is Outcome.UNKNOWN and not repeatable:
        retry_after = None
    return RequestFailure(
        status,
        outcome,
        cause.step,
        record.peer,
        cause.event,
        cause.detail,
        retry_after,
    )
