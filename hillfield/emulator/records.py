"""What callers and targets record of each request.

All times are seconds of the machine's monotonic clock, so that records of
several processes of one machine can be compared.
"""

from enum import StrEnum

from msgspec import Struct


class Ending(StrEnum):
    """Name how a request ended as its caller saw it."""

    ANSWERED = 'answered'
    REFUSED_BY_TARGET = 'refused-by-target'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    NO_CONNECTION = 'no-connection'
    CUT = 'cut'


class Call(Struct, frozen=True):
    """Hold one request as its caller saw it.

    `whole` and `own` hold only for an answer: that it had all its bytes and
    that they belong to this request. `node` is the address that was called.
    """

    request: str
    service: str
    node: str
    idempotent: bool
    started: float
    finished: float
    status: int
    ending: Ending
    whole: bool = False
    own: bool = False
    detail: str = ''


class Run(Struct, frozen=True):
    """Hold one request that a target really began to run."""

    request: str
    service: str
    target: str
    started: float


class Leaving(Struct, frozen=True):
    """Hold when a target announced that it leaves."""

    target: str
    announced: float


class TargetRecord(Struct, frozen=True):
    """Hold all that one target recorded."""

    target: str
    runs: tuple[Run, ...]
    leavings: tuple[Leaving, ...] = ()
