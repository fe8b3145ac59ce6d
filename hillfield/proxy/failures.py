"""Failures that the request path itself detects."""

from enum import Enum

from hillfield.events import EventCode
from hillfield.model import Outcome, RequestFailure, Step


class Fault(Enum):
    """Kinds of failures: status, outcome, step and event code."""

    MALFORMED = (
        400,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_MALFORMED,
    )
    SLOW_REQUEST = (
        408,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_TOO_SLOW,
    )
    LENGTH_REQUIRED = (
        411,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_MALFORMED,
    )
    BODY_TOO_LARGE = (
        413,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_TOO_LARGE,
    )
    URL_TOO_LONG = (
        414,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_TOO_LARGE,
    )
    EXPECTATION = (
        417,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_MALFORMED,
    )
    HEAD_TOO_LARGE = (
        431,
        Outcome.NOT_RUN,
        Step.READ_REQUEST,
        EventCode.REQUEST_TOO_LARGE,
    )
    UNEXPECTED = (
        500,
        Outcome.UNKNOWN,
        Step.AWAIT_ANSWER,
        EventCode.REQUEST_STRAY_ERROR,
    )
    INTERRUPTED = (
        502,
        Outcome.UNKNOWN,
        Step.AWAIT_ANSWER,
        EventCode.ANSWER_INTERRUPTED,
    )
    CONNECTIONS = (
        503,
        Outcome.NOT_RUN,
        Step.ADMIT,
        EventCode.CONNECTIONS_EXHAUSTED,
    )
    STOPPING = (
        503,
        Outcome.NOT_RUN,
        Step.ADMIT,
        EventCode.REQUEST_TOO_LATE_IN_STOP,
    )
    STOPPING_UNKNOWN = (
        504,
        Outcome.UNKNOWN,
        Step.AWAIT_ANSWER,
        EventCode.REQUEST_TOO_LATE_IN_STOP,
    )
    BYTES = (
        503,
        Outcome.NOT_RUN,
        Step.ADMIT,
        EventCode.BYTES_EXHAUSTED,
    )
    DEADLINE_NOT_RUN = (
        503,
        Outcome.NOT_RUN,
        Step.ADMIT,
        EventCode.DEADLINE_PASSED,
    )
    DEADLINE_UNKNOWN = (
        504,
        Outcome.UNKNOWN,
        Step.AWAIT_ANSWER,
        EventCode.DEADLINE_PASSED,
    )

    def failure(
        self,
        detail: str,
        peer: str = '',
        retry_after: float | None = None,
    ) -> RequestFailure:
        """Return the failure to send to the caller.

        >>> Fault.MALFORMED.failure('no host').status
        400
        """
        status, outcome, step, event = self.value
        return RequestFailure(
            status,
            outcome,
            step,
            peer,
            int(event),
            detail,
            retry_after,
        )


def describe_unexpected(error: Exception) -> RequestFailure:
    """Return the failure to send after an unexpected error.

    >>> describe_unexpected(ValueError('odd')).detail
    'ValueError: odd'
    """
    return Fault.UNEXPECTED.failure(f'{type(error).__name__}: {error}')
