"""Check templates and client accounts beyond their types."""

from collections.abc import Iterator
from re import Pattern
from re import compile as compile_pattern
from typing import Final

from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.faults import (
    PARAMETER_RANGES,
    RANGES,
    Fault,
    Range,
    check_ranges,
)
from hillfield.configuration.schema.paths import parse_pattern
from hillfield.configuration.schema.templates import Bounds, RouteRule, Template

SERVICE: Final = compile_pattern('[a-z0-9][a-z0-9._-]{0,62}')
ACCOUNT: Final = compile_pattern('[A-Za-z0-9][A-Za-z0-9._@+-]{0,126}')
METHOD: Final = compile_pattern('[A-Z]{1,20}')
HASH: Final = compile_pattern('[0-9a-f]{64}')
MAXIMUM_HASHES: Final = 2


def check_template(template: Template) -> tuple[Fault, ...]:
    """Return what is wrong with a template by itself."""
    return (
        *_check_name(
            'service',
            template.service,
            SERVICE,
            'write lower-case letters, digits and . _ -, at most 63',
        ),
        *check_ranges(template, RANGES, ''),
        *_check_parameters(template),
        *_check_routes(template.route),
        *_check_probe(template.probe_path),
    )


def check_account(account: ClientAccount) -> tuple[Fault, ...]:
    """Return what is wrong with an account by itself."""
    faults = [
        *_check_name(
            'name',
            account.name,
            ACCOUNT,
            'write letters, digits and . _ @ + -, at most 127',
        ),
        *_check_hashes(account.secret_hashes),
    ]
    services = [use.service for use in account.use]
    if len(set(services)) != len(services):
        faults.append(Fault('use', services, 'name each service once'))
    for index, use in enumerate(account.use):
        faults.extend(check_ranges(use, PARAMETER_RANGES, f'use[{index}].'))
    return tuple(faults)


def _check_name(
    field: str,
    name: str,
    pattern: Pattern[str],
    fix: str,
) -> Iterator[Fault]:
    if not pattern.fullmatch(name):
        yield Fault(field, name, fix)


def _check_hashes(hashes: tuple[str, ...]) -> Iterator[Fault]:
    if not 1 <= len(hashes) <= MAXIMUM_HASHES:
        yield Fault('secret_hashes', len(hashes), 'write one hash or two')
    for index, known in enumerate(hashes):
        if not HASH.fullmatch(known):
            yield Fault(
                f'secret_hashes[{index}]',
                # A secret written here by mistake must not reach a log.
                f'{len(known)} characters',
                'write 64 digits of 0-9 and a-f by `hillfield config secret`',
            )


def _check_parameters(template: Template) -> Iterator[Fault]:
    for limit in PARAMETER_RANGES:
        bounds = getattr(template.account_parameters, limit.field)
        if bounds is None:
            continue
        yield from _check_bounds(limit, bounds)
        own = getattr(template, limit.field)
        if own is not None and not bounds.minimum <= own <= bounds.maximum:
            fix = f'write {bounds.minimum} to {bounds.maximum}, as declared'
            yield Fault(limit.field, own, fix)


def _check_bounds(limit: Range, bounds: Bounds) -> Iterator[Fault]:
    where = f'account_parameters.{limit.field}'
    if not limit.minimum <= bounds.minimum <= bounds.maximum:
        fix = f'write {limit.minimum} or more, and at most the maximum'
        yield Fault(f'{where}.minimum', bounds.minimum, fix)
    if not bounds.maximum <= limit.maximum:
        fix = f'write at most {limit.maximum}'
        yield Fault(f'{where}.maximum', bounds.maximum, fix)


def _check_routes(routes: tuple[RouteRule, ...]) -> Iterator[Fault]:
    taken: set[tuple[str, str]] = set()
    names = [rule.name for rule in routes]
    if not routes:
        yield Fault('route', 'none', 'write at least one [[template.route]]')
    if len(set(names)) != len(names):
        yield Fault('route', names, 'give each route a name of its own')
    for index, rule in enumerate(routes):
        where = f'route[{index}].'
        yield from check_ranges(rule, PARAMETER_RANGES, where)
        yield from _check_route(rule, where, taken)


def _check_route(
    rule: RouteRule,
    where: str,
    taken: set[tuple[str, str]],
) -> Iterator[Fault]:
    pattern = parse_pattern(rule.path)
    if pattern is None:
        fix = 'write segments after /, {parameter} for open ones, * at the end'
        yield Fault(f'{where}path', rule.path, fix)
    if not rule.name:
        yield Fault(f'{where}name', rule.name, 'write a name for the time line')
    text = pattern.text if pattern else rule.path
    yield from _check_methods(rule, where)
    for method in rule.methods:
        request = (method, text)
        if request in taken:
            fix = 'take it out here or in the route that has it too'
            yield Fault(f'{where}methods', f'{method} {rule.path}', fix)
        taken.add(request)


def _check_methods(rule: RouteRule, where: str) -> Iterator[Fault]:
    if not rule.methods:
        yield Fault(f'{where}methods', 'none', "write such as ['GET']")
    for method in rule.methods:
        if not METHOD.fullmatch(method):
            yield Fault(f'{where}methods', method, 'write it in capitals')


def _check_probe(path: str) -> Iterator[Fault]:
    if path and not path.startswith('/'):
        yield Fault('probe_path', path, 'start it with /, or leave it out')
