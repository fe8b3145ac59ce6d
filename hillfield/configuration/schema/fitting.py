"""Fit the parameters of client accounts to templates."""

from collections.abc import Callable, Iterator
from typing import Final

from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.faults import Fault
from hillfield.configuration.schema.templates import Bounds, Template

FIELDS: Final = ('deadline', 'attempts', 'hedge_after')


def check_uses(
    account: ClientAccount,
    find: Callable[[str], Template | None],
) -> tuple[Fault, ...]:
    """Return where an account's parameters don't fit its templates."""
    faults: list[Fault] = []
    for index, use in enumerate(account.use):
        template = find(use.service)
        where = f'use[{index}]'
        if template is None:
            fix = 'apply a template of this service first'
            faults.append(Fault(f'{where}.service', use.service, fix))
        else:
            faults.extend(_check_use(use, template, where))
    return tuple(faults)


def clamp(chosen: float | None, bounds: Bounds | None) -> float | None:
    """Return the nearest setting that the template allows.

    None: the account chose nothing, or the template has no such parameter
    (any more), so that the template's own setting holds.

    >>> clamp(9, Bounds(1, 5))
    5
    >>> clamp(9, None) is None
    True
    """
    if chosen is None or bounds is None:
        return None
    return min(max(chosen, bounds.minimum), bounds.maximum)


def _check_use(
    use: ServiceUse,
    template: Template,
    where: str,
) -> Iterator[Fault]:
    for field in FIELDS:
        chosen = getattr(use, field)
        bounds = getattr(template.account_parameters, field)
        if chosen is None:
            continue
        if bounds is None:
            fix = 'leave it out: the template declares no such parameter'
            yield Fault(f'{where}.{field}', chosen, fix)
        elif not bounds.minimum <= chosen <= bounds.maximum:
            fix = f'write {bounds.minimum} to {bounds.maximum}'
            yield Fault(f'{where}.{field}', chosen, fix)
