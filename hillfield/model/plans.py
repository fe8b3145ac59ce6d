"""The plan for one request, resolved from a template and an account."""

from enum import IntEnum
from math import inf
from typing import Final

from msgspec import Struct


class Urgency(IntEnum):
    """Say which targets a request accepts after others have declined it.

    `HEALTHY_ONLY` accepts targets without evidence against them,
    `ALLOW_SUSPECTED` also suspected ones, `ALLOW_QUARANTINED` also
    quarantined ones that are fairly likely to answer, `ALLOW_ANY` all.
    """

    HEALTHY_ONLY = 0
    ALLOW_SUSPECTED = 1
    ALLOW_QUARANTINED = 2
    ALLOW_ANY = 3


class RepeatKind(IntEnum):
    """Say why a request reaches a target that isn't the first arrival of it.

    `CALL`: it is the first arrival of a call, but the run that made the call
    was itself a repeat.
    """

    RETRY = 1
    HEDGE = 2
    CALL = 3


class AnswerChecks(Struct, frozen=True):
    """Say what makes an answer wrong beyond its status.

    An answer is wrong when its status is in `wrong_statuses`, when it lacks
    `required_header`, when its body is shorter than `minimum_length` bytes,
    or when its body doesn't start with `required_prefix`. Where the request
    can't be retried, a wrong answer is replaced by a failure, or passed on
    if `relays_wrong`.
    """

    wrong_statuses: tuple[int, ...] = (500, 502, 503, 504)
    required_header: str = ''
    minimum_length: int = 0
    required_prefix: bytes = b''
    relays_wrong: bool = False


class RequestPlan(Struct, frozen=True):
    """Say how one request is to be treated; times are in seconds.

    `priority` ranks waiting requests (0 goes first), `origin` is the service
    on whose host the request began (empty: unknown). `trial`, `urgency`,
    `spent` (the seconds since the request was first sent) and `repeat` (None:
    its first arrival) are set by the node where it began, for this attempt.
    `aim` is the time within which an answer
    is worth most (0: unknown), `route_version` the version of the
    configuration that introduced the route (None: unknown here),
    `route_since` when this node first held it, by the monotonic clock (None:
    since its first configuration).
    """

    service: str
    route: str
    account: str
    idempotent: bool
    deadline: float
    maximum_attempts: int = 3
    hedge_after: float | None = None
    checks: AnswerChecks = AnswerChecks()
    priority: int = 0
    origin: str = ''
    trial: bool = False
    urgency: Urgency = Urgency.HEALTHY_ONLY
    aim: float = 0
    spent: float = 0
    route_version: int | None = None
    route_since: float | None = None
    repeat: RepeatKind | None = None


class RepeatBound(Struct, frozen=True):
    """Bound the repeats of each service over all nodes together.

    In any `window` seconds, targets get at most `ratio` repeats for each
    request of a caller, and `slack` more.
    """

    ratio: float = 0.2
    slack: float = inf
    window: float = 10


UNBOUNDED: Final = RepeatBound()


class ServicePolicy(Struct, frozen=True):
    """Say how all traffic of one service is treated.

    `floor` is the share of announced capacity (slots) kept in service,
    `late_detection_cost` the cost of a late detection relative to that of a
    false ejection (above 1 ejects sooner), `retry_budget` and
    `hedge_budget` the retries and hedges allowed per request,
    `queue_limit` how many requests may wait at one node, `slow_start`
    the seconds over which a cold target gets up to its full share,
    `retry_burst` and `shed_burst` how many retries of each kind one node may
    save up, `shed_cost` what a retry after the shed answer costs,
    `retry_saving` the seconds of answered requests whose retries may be saved
    up where that is more than `retry_burst`, `patience` the seconds that
    requests wait for a first target. Without a `hedge_budget` hedges draw on
    the retry budget, to which `retry_rate` adds so many retries per second.
    """

    service: str
    floor: float = 0.5
    late_detection_cost: float = 1
    retry_budget: float = 0.1
    hedge_budget: float | None = 0.02
    queue_limit: int = 64
    slow_start: float = 5
    probe_path: str = ''
    account_share: float = 0.5
    account_rate: float | None = None
    retry_burst: float = 5
    retry_saving: float = 1
    shed_burst: float = 10
    shed_cost: float = 0.1
    patience: float = 0
    retry_rate: float = 0
