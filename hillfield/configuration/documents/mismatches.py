"""Explain to operators why a table doesn't fit a data class."""

from collections.abc import Mapping
from re import compile as compile_pattern
from types import MappingProxyType
from typing import Final

from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import Idempotency

# The texts of msgspec's errors.
PLACE: Final = compile_pattern(r'(?P<reason>.*) - at `\$\.?(?P<path>.*)`')
EXPECTED: Final = compile_pattern('Expected `(?P<kind>[a-z]+)[^`]*`.*')
MISSING: Final = compile_pattern('.* missing required field `(?P<field>.*)`')
STEP: Final = compile_pattern(r'[^.\[\]]+')
FIXES: Final[Mapping[str, str]] = MappingProxyType(
    {
        'str': 'write a text in quotes',
        'bytes': 'write a text in quotes',
        'int': 'write a whole number',
        'float': 'write a number',
        'bool': 'write true or false',
        'array': 'write a list in square brackets',
        'object': 'write a table of fields',
    },
)
IDEMPOTENCIES: Final = ', '.join(Idempotency)
# A secret written in place of its hash must not reach a screen or a log.
SECRETS: Final = 'secret_hashes'
HIDDEN: Final = 'a hidden text'


def explain_mismatch(
    place: str,
    where: str,
    raw: object,
    message: str,
) -> ConfigurationProblem:
    """Return the problem that an error message of msgspec tells of."""
    match = PLACE.fullmatch(message)
    reason = match['reason'] if match else message
    path = match['path'] if match else ''
    field = f'{where}.{path}' if path else where
    missing = MISSING.fullmatch(reason)
    if missing is not None:
        found = _list_fields(_look_up(raw, path))
        fix = 'add {0}'.format(missing['field'])
        return ConfigurationProblem(place, field, found, fix)
    found = _show(path, _look_up(raw, path))
    return ConfigurationProblem(place, field, found, _find_fix(reason))


def _find_fix(reason: str) -> str:
    expected = EXPECTED.fullmatch(reason)
    if expected is not None and expected['kind'] in FIXES:
        return FIXES[expected['kind']]
    if reason.startswith('Invalid enum value'):
        return f'write one of {IDEMPOTENCIES}'
    return reason


def _list_fields(table: object) -> str:
    if isinstance(table, dict) and table:
        return 'only the fields {0}'.format(', '.join(table))
    return 'an empty table'


def _show(path: str, found: object) -> str:
    if path.startswith(SECRETS):
        return HIDDEN
    if isinstance(found, dict):
        return 'a table'
    # Without a path, nothing tells what it is.
    return repr(found) if path else type(found).__name__


def _look_up(raw: object, path: str) -> object:
    """Return what stands at a path such as `route[0].name`."""
    current = raw
    for step in STEP.findall(path):
        if isinstance(current, list) and step.isdigit():
            current = current[int(step)]
        elif isinstance(current, dict):
            current = current.get(step, 'nothing')
    return current
