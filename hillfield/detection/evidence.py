"""The evidence on a target that nodes send each other."""

from enum import StrEnum

from msgspec import Struct

from hillfield.model import TargetId


class Symptom(StrEnum):
    """Name the symptom of a target as one node observes it."""

    NONE = 'none'
    SLOW = 'slow'
    WRONG = 'wrong'
    BROKEN = 'broken'
    STALLED = 'stalled'
    UNREACHABLE = 'unreachable'


class Evidence(Struct, frozen=True):
    """Summarize one node's recent requests to one target.

    `requests` and `failures` count over the last few seconds, `slowness` is
    the target's latency divided by that of the service's other targets.
    """

    target: TargetId
    symptom: Symptom
    requests: int
    failures: int
    slowness: float
