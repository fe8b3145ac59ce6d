"""Read the operator's configuration into routes."""

from typing import Final

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.hostroutes import HostRoute, RouteLimits, RouteTable, SplitPart
from hillfield.platform.configuration import (
    Configuration,
    Limits,
    Rule,
    Tenant,
)

# The store's key of the newest configuration.
KEY: Final = 'op/config'
SAFE: Final = 'safe'


def read_routes(payload: bytes) -> Result[RouteTable, str]:
    """Read a stored configuration; the error names the field."""
    try:
        wire = decode(payload, type=Configuration)
    except (DecodeError, ValidationError) as wrong:
        return Error(str(wrong))
    problem = _find_problem(wire)
    if problem:
        return Error(problem)
    return Ok(
        RouteTable(
            wire.version,
            tuple(
                _make_route(listener.host, rule)
                for listener in wire.listeners
                for rule in listener.rules
            ),
            None if wire.limits is None else _make_limits(wire.limits),
            _make_accounts(wire.tenants),
        ),
    )


def _find_problem(wire: Configuration) -> str:
    problems = (
        _find_rule_problem(listener.host, rule)
        for listener in wire.listeners
        for rule in listener.rules
    )
    first = next(filter(None, problems), '')
    return first or find_account_problem(wire.tenants or ())


def _find_rule_problem(host: str, rule: Rule) -> str:
    where = f'rule {rule.name!r} of host {host!r}'
    prefix = rule.match.prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        return f'{where}: prefix {prefix!r} lacks a slash at an end'
    if not (rule.action.service or rule.action.traffic_split):
        return f'{where}: it names no service'
    if rule.action.timeout <= 0:
        return f'{where}: timeoutS must be above 0'
    return ''


def _make_route(host: str, rule: Rule) -> HostRoute:
    action = rule.action
    parts = tuple(
        SplitPart(part.service, part.weight) for part in action.traffic_split
    )
    return HostRoute(
        rule.name,
        host,
        rule.match.prefix,
        parts or (SplitPart(action.service),),
        rule.kind == SAFE,
        action.timeout,
        max(1, action.max_attempts),
        rule.priority,
        rule.aim,
        rule.public,
    )


def _make_limits(limits: Limits) -> RouteLimits:
    return RouteLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout,
        limits.idle_timeout,
    )


def find_account_problem(tenants: tuple[Tenant, ...]) -> str:
    """Return what is wrong with the accounts; keys are never shown."""
    holders: dict[str, str] = {}
    problems = (_find_tenant_problem(tenant, holders) for tenant in tenants)
    return next(filter(None, problems), '')


def _find_tenant_problem(tenant: Tenant, holders: dict[str, str]) -> str:
    """Return what is wrong with one; notes who holds its keys."""
    where = f'tenant {tenant.name!r}'
    if not (tenant.name.isascii() and tenant.name.isprintable()):
        return f'{where}: name must be printable ASCII'
    if not tenant.name:
        return f'{where}: name must not be empty'
    if tenant.rate < 0 or tenant.burst < 0:
        return f'{where}: ratePerS and burst must not be below 0'
    for key in tenant.api_keys:
        holder = holders.setdefault(key, tenant.name)
        if not key or holder != tenant.name:
            return f'{where}: apiKeys: one is empty or that of {holder!r}'
    return ''


def _make_accounts(
    tenants: tuple[Tenant, ...] | None,
) -> tuple[FleetAccount, ...] | None:
    if tenants is None:
        return None
    return tuple(
        FleetAccount(
            tenant.name,
            tuple(map(hash_secret, tenant.api_keys)),
            tenant.priority,
            tenant.rate,
            tenant.burst,
        )
        for tenant in tenants
    )
