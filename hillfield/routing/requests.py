"""Messages between the request path and the decisions.

The request path (effects) reports what it saw as an `Observation`; the
dispatcher (pure) answers with a `Verdict`. All times are seconds of one
monotonic clock, passed in as values.
"""

from dataclasses import dataclass

from hillfield.model import (
    Address,
    RequestFailure,
    RequestPlan,
    TargetId,
    Urgency,
)
from hillfield.routing.declining import Declined


@dataclass(frozen=True, slots=True)
class Arrival:
    """Announce a request that has been read, authenticated and planned.

    `replayable` says whether the request's body is held whole, so that a
    second attempt can send the same bytes.
    """

    request: str
    plan: RequestPlan
    expires: float
    replayable: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to this target, as attempt `attempt` (unique).

    `trial` says that it could be sent once more elsewhere if this attempt
    fails, `urgency` which targets it takes, `spent` the seconds since the
    request was first sent.
    """

    request: str
    attempt: int
    target: TargetId
    address: Address
    trial: bool = False
    urgency: Urgency = Urgency.CHOOSY
    spent: float = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Hold the request: it is queued; `poll` gives its next verdict."""

    request: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with this failure; the request has ended."""

    request: str
    failure: RequestFailure


@dataclass(frozen=True, slots=True)
class Done:
    """Nothing more to do for the request."""

    request: str


Verdict = Send | Wait | Refuse | Done


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be had; not a byte of the request was written."""

    detail: str


@dataclass(frozen=True, slots=True)
class NothingWritten:
    """The connection ended before a byte of the request was written."""

    detail: str


@dataclass(frozen=True, slots=True)
class Shed:
    """The target refused by the documented shed answer: it did not run."""

    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection ended after a byte was written, before a whole answer.

    `relayed` says that the caller has already had the answer's head.
    """

    detail: str
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No whole answer came in time after a byte was written."""

    relayed: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer came; `wrong` by the plan's checks, with a reason.

    A wrong answer whose head has been relayed cannot be retried.
    """

    status: int
    wrong: str = ''
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller went away or another attempt won; the attempt was cut."""


Observation = (
    ConnectFailed
    | NothingWritten
    | Declined
    | Shed
    | Broken
    | TimedOut
    | Answered
    | CallerGone
)
