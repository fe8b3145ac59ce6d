"""Templates: how the traffic of a service is treated."""

from enum import StrEnum

from msgspec import Struct

from hillfield.model import AnswerChecks, ServicePolicy


class Idempotency(StrEnum):
    """Say which requests of a route may run more than once.

    `BY_METHOD` takes GET, HEAD and OPTIONS as idempotent and nothing else;
    `BY_KEY` takes a request as idempotent when it carries an
    `Idempotency-Key` header, which the targets must then honour.
    """

    BY_METHOD = 'by-method'
    ALWAYS = 'always'
    NEVER = 'never'
    BY_KEY = 'by-key'


class Bounds(Struct, frozen=True):
    """Say between which settings a client account may choose."""

    minimum: float
    maximum: float


class AccountParameters(Struct, frozen=True):
    """Name what client accounts may fill in; None: they may not."""

    deadline: Bounds | None = None
    attempts: Bounds | None = None
    hedge_after: Bounds | None = None


class RouteRule(Struct, frozen=True):
    """Treat the requests that match a path and one of the methods.

    `path` is made of literal segments and `{parameter}` segments; a last
    segment `*` matches any rest. `deadline` and `hedge_after` (seconds) go
    before those of the template.
    """

    name: str
    methods: tuple[str, ...]
    path: str
    idempotent: Idempotency = Idempotency.BY_METHOD
    deadline: float | None = None
    hedge_after: float | None = None


class Template(Struct, frozen=True):
    """Say how the traffic of one service is treated; times are seconds.

    The fields that `ServicePolicy` has too mean the same here. `deadline`,
    `attempts` and `hedge_after` are what an account gets that fills in
    nothing; `hedge_after` None means no hedging.
    """

    service: str
    route: tuple[RouteRule, ...]
    deadline: float
    attempts: int = 3
    hedge_after: float | None = None
    floor: float = 0.5
    late_detection_cost: float = 1
    retry_budget: float = 0.1
    hedge_budget: float = 0.02
    queue_limit: int = 64
    slow_start: float = 5
    probe_path: str = ''
    account_share: float = 0.5
    account_rate: float | None = None
    checks: AnswerChecks = AnswerChecks()
    account_parameters: AccountParameters = AccountParameters()


def derive_policy(template: Template) -> ServicePolicy:
    """Return the part of the template that holds for all its traffic."""
    return ServicePolicy(
        service=template.service,
        floor=template.floor,
        late_detection_cost=template.late_detection_cost,
        retry_budget=template.retry_budget,
        hedge_budget=template.hedge_budget,
        queue_limit=template.queue_limit,
        slow_start=template.slow_start,
        probe_path=template.probe_path,
        account_share=template.account_share,
        account_rate=template.account_rate,
    )
