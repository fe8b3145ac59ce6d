"""What to send to a fleet, and what came of it."""

from enum import StrEnum

from msgspec import Struct

from hillfield.model import Address


class Told(StrEnum):
    """Name what a caller was told.

    `NOT_RUN` says when to come back, `NO_HINT` does not.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    NO_HINT = 'not-run-without-hint'
    UNKNOWN = 'unknown'
    LOST = 'lost'


class LoadPlan(Struct, frozen=True):
    """Describe an open-loop load on nodes.

    `rate` is requests a second over all nodes, half of them idempotent;
    `greedy` the share that one account sends, the others share the rest.
    Only what is sent after `warm_up` seconds counts. `controls` are asked
    for their health meanwhile.
    """

    nodes: tuple[Address, ...]
    controls: tuple[Address, ...]
    rate: float
    seconds: float
    warm_up: float = 1
    greedy: float = 0
    seed: int = 1


class Ending(Struct, frozen=True):
    """Hold how one request ended; `sent` and `seconds` are in seconds."""

    idempotent: bool
    greedy: bool
    told: Told
    sent: float
    seconds: float


class LoadResult(Struct, frozen=True):
    """Hold all that was seen.

    `health` are the seconds of each answer of health and readiness,
    `failed_health` how many did not say that all is well, `lateness` the
    seconds by which requests were sent later than planned, at p99.
    """

    endings: tuple[Ending, ...]
    health: tuple[float, ...]
    failed_health: int
    lateness: float
