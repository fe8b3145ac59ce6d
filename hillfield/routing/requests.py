"""Messages between the request path and the decisions.

The request path, which does all input and output, reports each event as an
`Observation`; the dispatcher, which does none, returns a `Decision`. All times
are seconds of one monotonic clock and are passed in as values.
"""

from msgspec import Struct

from hillfield.model import (
    Address,
    IncarnationNotice,
    RepeatKind,
    RequestFailure,
    RequestPlan,
    TargetId,
    Urgency,
)
from hillfield.routing.declining import Declined


class Arrival(Struct, frozen=True):
    """Describe a new request that has been read, authenticated and planned.

    `replayable` says whether the complete body is buffered, so that another
    attempt can send the same bytes. `fingerprint` identifies the request if it
    is received again under another id (empty: not computed).
    """

    request: str
    plan: RequestPlan
    expires: float
    replayable: bool
    fingerprint: bytes = b''


class Send(Struct, frozen=True):
    """Send the request to this target as attempt `attempt` (unique).

    `trial` says that the request can be retried at another target if this
    attempt fails, `urgency` how healthy its target has to be, `spent` the
    seconds since the request was admitted, `notice` the last notice received
    from the target at this address, `repeat` why this is not the first arrival
    (None: it is).
    """

    request: str
    attempt: int
    target: TargetId
    address: Address
    trial: bool = False
    urgency: Urgency = Urgency.HEALTHY_ONLY
    spent: float = 0
    notice: IncarnationNotice | None = None
    repeat: RepeatKind | None = None


class Wait(Struct, frozen=True):
    """Keep the request queued; `poll` returns the next decision on it."""

    request: str


class Refuse(Struct, frozen=True):
    """Answer the caller with this failure, which ends the request."""

    request: str
    failure: RequestFailure


class Done(Struct, frozen=True):
    """Do nothing more for the request."""

    request: str


Decision = Send | Wait | Refuse | Done


class ConnectFailed(Struct, frozen=True):
    """No connection was established; no byte of the request was written."""

    detail: str


class NothingWritten(Struct, frozen=True):
    """The connection ended before a byte of the request was written."""

    detail: str


class Shed(Struct, frozen=True):
    """The target sent the documented shed answer: the request did not run."""

    retry_after: float | None = None


class Broken(Struct, frozen=True):
    """The connection ended after a byte was written, without a complete answer.

    `forwarded` says that the answer's head was already forwarded to the caller.
    """

    detail: str
    forwarded: bool = False


class TimedOut(Struct, frozen=True):
    """No complete answer arrived in time after a byte was written."""

    forwarded: bool = False


class Answered(Struct, frozen=True):
    """A complete answer arrived; `wrong` says which check of the plan failed.

    After a wrong answer whose head was forwarded, the request can't be retried.
    """

    status: int
    wrong: str = ''
    forwarded: bool = False


class CallerGone(Struct, frozen=True):
    """The attempt was cancelled: its caller left or another attempt won."""


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
