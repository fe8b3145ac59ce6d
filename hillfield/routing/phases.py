"""State charts of requests and attempts, bound to enumerations."""

from enum import StrEnum
from importlib.resources import files
from typing import Final

from hillfield.charts import BoundChart, read_chart


class AttemptPhase(StrEnum):
    """Name the states of `attempt.toml`."""

    CONNECTING = 'connecting'
    WRITTEN = 'written'
    HEAD = 'head'
    ENDED = 'ended'


class AttemptTrigger(StrEnum):
    """Name what happens to an attempt."""

    WRITE = 'write'
    HEAD = 'head'
    CONNECT_FAILED = 'connect-failed'
    NOTHING_WRITTEN = 'nothing-written'
    DECLINED = 'declined'
    SHED = 'shed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed-out'
    WRONG = 'wrong'
    ANSWERED = 'answered'
    RELAYED = 'relayed'
    GONE = 'gone'


class AttemptAction(StrEnum):
    """Name what a step of an attempt means for its request."""

    NONE = 'none'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'doubt'
    SETTLE = 'settle'
    WITHDRAW = 'withdraw'
    ABANDON = 'abandon'


class RequestPhase(StrEnum):
    """Name the states of `request.toml`."""

    ARRIVED = 'arrived'
    QUEUED = 'queued'
    SENT = 'sent'
    SENT_UNCERTAIN = 'sent-doubtful'
    QUEUED_UNCERTAIN = 'queued-doubtful'
    ENDED = 'ended'


class RequestTrigger(StrEnum):
    """Name what happens to a request."""

    SEND = 'send'
    QUEUE = 'queue'
    MAY_HAVE_RUN = 'doubt'
    REFUSE = 'refuse'
    SETTLE = 'settle'
    LEAVE = 'leave'


class RequestAction(StrEnum):
    """Name what a step of a request means for its caller."""

    NONE = 'none'
    TELL_NOT_RUN = 'tell-not-run'
    TELL_UNKNOWN = 'tell-unknown'
    REPEAT = 'repeat'


AttemptChart = BoundChart[AttemptPhase, AttemptTrigger, AttemptAction]
RequestChart = BoundChart[RequestPhase, RequestTrigger, RequestAction]

ATTEMPT_CHART: Final[AttemptChart] = read_chart(
    files('hillfield.routing') / 'attempt.toml',
).bind(AttemptPhase, AttemptTrigger, AttemptAction)

REQUEST_CHART: Final[RequestChart] = read_chart(
    files('hillfield.routing') / 'request.toml',
).bind(RequestPhase, RequestTrigger, RequestAction)
