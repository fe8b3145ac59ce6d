"""Messages between the request path and the decisions.

The request path (effects) reports what it saw as an `Observation`; the
dispatcher (pure) answers with a `Verdict`. All times are seconds of one
monotonic clock, passed in as values.
"""

from msgspec import Struct

from hillfield.model import (
    Address,
    LifeNotice,
    RequestFailure,
    RequestPlan,
    TargetId,
    Urgency,
)
from hillfield.routing.declining import Declined


class Arrival(Struct, frozen=True):
    """Announce a request that has been read, authenticated and planned.

    `replayable` says whether the request's body is held whole, so that a
    second attempt can send the same bytes, `fingerprint` tells the request
    when it comes again under another id (empty: not taken).
    """

    request: str
    plan: RequestPlan
    expires: float
    replayable: bool
    fingerprint: bytes = b''


class Send(Struct, frozen=True):
    """Send the request to this target, as attempt `attempt` (unique).

    `trial` says that it could be sent once more elsewhere if this attempt
    fails, `urgency` which targets it takes, `spent` the seconds since the
    request was first sent, `told` what this node was told of the target at
    this address.
    """

    request: str
    attempt: int
    target: TargetId
    address: Address
    trial: bool = False
    urgency: Urgency = Urgency.CHOOSY
    spent: float = 0
    told: LifeNotice | None = None


class Wait(Struct, frozen=True):
    """Hold the request: it is queued; `poll` gives its next verdict."""

    request: str


class Refuse(Struct, frozen=True):
    """Answer the caller with this failure; the request has ended."""

    request: str
    failure: RequestFailure


class Done(Struct, frozen=True):
    """Nothing more to do for the request."""

    request: str


Verdict = Send | Wait | Refuse | Done


class ConnectFailed(Struct, frozen=True):
    """No connection could be had; not a byte of the request was written."""

    detail: str


class NothingWritten(Struct, frozen=True):
    """The connection ended before a byte of the request was written."""

    detail: str


class Shed(Struct, frozen=True):
    """The target refused by the documented shed answer: it did not run."""

    retry_after: float | None = None


class Broken(Struct, frozen=True):
    """The connection ended after a byte was written, before a whole answer.

    `relayed` says that the caller has already had the answer's head.
    """

    detail: str
    relayed: bool = False


class TimedOut(Struct, frozen=True):
    """No whole answer came in time after a byte was written."""

    relayed: bool = False


class Answered(Struct, frozen=True):
    """A whole answer came; `wrong` by the plan's checks, with a reason.

    A wrong answer whose head has been relayed cannot be retried.
    """

    status: int
    wrong: str = ''
    relayed: bool = False


class CallerGone(Struct, frozen=True):
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
