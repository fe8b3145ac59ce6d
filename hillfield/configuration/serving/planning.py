"""Make the plan of a request from its route and its account."""

from typing import Final

from hillfield.configuration.schema.accounts import ServiceUse
from hillfield.configuration.schema.fitting import clamp
from hillfield.configuration.schema.templates import (
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.configuration.serving.routes import BoundRoute
from hillfield.model import RequestPlan
from hillfield.proxy.ports import RequestHead

IDEMPOTENT_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


def is_idempotent(rule: RouteRule, head: RequestHead) -> bool:
    """Say whether a request may run more than once.

    PUT and DELETE count as non-idempotent too unless the template says
    otherwise: what a target makes of them is not ours to trust.
    """
    match rule.idempotent:
        case Idempotency.ALWAYS:
            return True
        case Idempotency.NEVER:
            return False
        case Idempotency.BY_KEY:
            return bool(head.idempotency_key)
        case Idempotency.BY_METHOD:
            return head.method in IDEMPOTENT_METHODS


def make_plan(
    route: BoundRoute,
    use: ServiceUse,
    head: RequestHead,
) -> RequestPlan:
    """Return the plan: the route goes before the account, then the template.

    What the account fills in is held within what the template allows now.
    """
    template = route.template
    rule = route.rule
    idempotent = is_idempotent(rule, head)
    return RequestPlan(
        service=template.service,
        route=rule.name,
        account=head.account,
        idempotent=idempotent,
        deadline=rule.deadline or _choose_deadline(template, use),
        maximum_attempts=_choose_attempts(template, use),
        hedge_after=_choose_hedge(route, use) if idempotent else None,
        checks=template.checks,
    )


def _choose_deadline(template: Template, use: ServiceUse) -> float:
    chosen = clamp(use.deadline, template.account_parameters.deadline)
    return template.deadline if chosen is None else chosen


def _choose_attempts(template: Template, use: ServiceUse) -> int:
    chosen = clamp(use.attempts, template.account_parameters.attempts)
    return template.attempts if chosen is None else int(chosen)


def _choose_hedge(route: BoundRoute, use: ServiceUse) -> float | None:
    if route.rule.hedge_after is not None:
        return route.rule.hedge_after
    template = route.template
    chosen = clamp(use.hedge_after, template.account_parameters.hedge_after)
    return template.hedge_after if chosen is None else chosen
