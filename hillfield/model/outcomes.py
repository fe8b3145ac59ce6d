"""Outcomes and failures of requests, as reported to their callers."""

from enum import StrEnum

from msgspec import Struct


class Outcome(StrEnum):
    """Name what is known of whether a request ran.

    `NOT_RUN` is reported only when it is certain: no byte of the request was
    written to any target, or each target that received it refused it by the
    documented shed answer.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Step(StrEnum):
    """Name the step of a request at which an error arose."""

    READ_REQUEST = 'read-request'
    AUTHENTICATE = 'authenticate'
    ROUTE = 'route'
    ADMIT = 'admit'
    CONNECT = 'connect'
    SEND = 'send'
    AWAIT_ANSWER = 'await-answer'
    RELAY_ANSWER = 'relay-answer'


class RequestFailure(Struct, frozen=True):
    """Report the outcome of a failed request to its caller.

    `status` is the HTTP status of the answer, `peer` the other end at which
    the error arose (empty: none), `event` the number of the catalogue event
    that records it, `retry_after` the seconds after which to retry (None: a
    retry would not help or is not known to be safe).
    """

    status: int
    outcome: Outcome
    step: Step
    peer: str
    event: int
    detail: str
    retry_after: float | None = None
