"""Turn TOML tables into templates and client accounts."""

from collections.abc import Iterator, Mapping
from functools import singledispatch
from typing import TypeVar

from msgspec import ValidationError, convert

from hillfield.configuration.documents.mismatches import explain_mismatch
from hillfield.configuration.documents.unknown_fields import find_unknown
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.checks import check_account, check_template
from hillfield.configuration.schema.faults import Fault
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import Template

Part = TypeVar('Part', Template, ClientAccount)
Problems = tuple[ConfigurationProblem, ...]


@singledispatch
def check_part(part: object) -> tuple[Fault, ...]:
    """Return what is wrong with a template or an account by itself."""
    raise TypeError(f'no checks for {type(part).__name__}')


check_part.register(Template, check_template)
check_part.register(ClientAccount, check_account)


def convert_parts(
    place: str,
    tables: Mapping[str, object],
    kind: type[Part],
    problems: list[ConfigurationProblem],
) -> Iterator[Part]:
    """Yield the valid parts of a file; add a problem for each other."""
    field = 'template' if kind is Template else 'account'
    raw_parts = tables.get(field, [])
    if not isinstance(raw_parts, list):
        fix = f'write it as [[{field}]]'
        problems.append(ConfigurationProblem(place, field, 'one table', fix))
        return
    for index, raw in enumerate(raw_parts):
        where = f'{field}[{index}]'
        found = len(problems)
        problems.extend(find_unknown(place, where, raw, kind))
        try:
            part = convert(_prepare(raw), kind, builtin_types=(bytes,))
        except ValidationError as error:
            problems.append(explain_mismatch(place, where, raw, str(error)))
            continue
        faults = check_part(part)
        problems.extend(fault.locate(place, where) for fault in faults)
        if len(problems) == found:
            yield part


def _prepare(raw: object) -> object:
    """Return the table with its text for bytes turned into bytes."""
    if not isinstance(raw, dict):
        return raw
    checks = raw.get('checks')
    if not isinstance(checks, dict):
        return raw
    prefix = checks.get('required_prefix')
    if not isinstance(prefix, str):
        return raw
    encoded = {**checks, 'required_prefix': prefix.encode('utf-8')}
    return {**raw, 'checks': encoded}
