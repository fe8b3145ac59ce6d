"""Checks of a table of settings against the data class that it fills."""

from collections.abc import Iterator
from ipaddress import ip_address
from typing import Any, Final, cast

from msgspec import ValidationError, convert
from msgspec.structs import fields

from hillfield.model import Address, is_struct, parse_address
from hillfield.settings.fixes import (
    ADDRESS_FIX,
    ADDRESSES,
    IP_FIX,
    LIST_FIX,
    TABLE_FIX,
    TEXT_FIX,
    explain_fix,
    show_found,
    show_name,
)
from hillfield.settings.problems import SettingsProblem
from hillfield.settings.tables import Table, read_hints

ABSENT: Final = object()
UNKNOWN_FIELD: Final = 'an unknown field'


def find_problems(
    kind: type,
    table: Table,
    prefix: str = '',
) -> Iterator[SettingsProblem]:
    """Yield each problem of the table and of the tables within it."""
    members = {member.name: member for member in fields(kind)}
    hints = read_hints(kind)
    yield from _find_unknown(tuple(members), table, prefix)
    for name, member in members.items():
        path = prefix + name
        raw = table.get(name, ABSENT)
        if raw is not ABSENT:
            yield from _check_member(path, hints[name], raw)
        elif member.required:
            fix = explain_fix(hints[name])
            yield SettingsProblem(path, 'nothing', f'add it: {fix}')


def _find_unknown(
    members: tuple[str, ...],
    table: Table,
    prefix: str,
) -> Iterator[SettingsProblem]:
    known = ', '.join(sorted(members))
    for name in sorted(table.keys() - set(members)):
        # Not the value: it may be a secret under a misspelt name.
        fix = f'remove it; known here: {known}'
        yield SettingsProblem(prefix + show_name(name), UNKNOWN_FIELD, fix)


def _check_member(
    name: str,
    hint: Any,
    raw: object,
) -> Iterator[SettingsProblem]:
    if hint is Address:
        yield from _check_address(name, raw)
    elif hint == ADDRESSES:
        yield from _check_addresses(name, raw)
    elif is_struct(hint):
        yield from _check_section(name, cast(type, hint), raw)
    else:
        yield from _check_plain(name, hint, raw)


def _check_section(
    name: str,
    kind: type,
    raw: object,
) -> Iterator[SettingsProblem]:
    if isinstance(raw, dict):
        yield from find_problems(kind, raw, f'{name}.')
    else:
        yield SettingsProblem(name, show_found(name, raw), TABLE_FIX)


def _check_addresses(name: str, raw: object) -> Iterator[SettingsProblem]:
    if not isinstance(raw, list):
        yield SettingsProblem(name, show_found(name, raw), LIST_FIX)
        return
    for position, text in enumerate(raw):
        yield from _check_address(f'{name}[{position}]', text)


def _check_address(name: str, raw: object) -> Iterator[SettingsProblem]:
    if not isinstance(raw, str):
        yield SettingsProblem(name, show_found(name, raw), ADDRESS_FIX)
        return
    parsed = parse_address(raw)
    if parsed.is_error():
        yield SettingsProblem(name, show_found(name, raw), parsed.error)


def _check_plain(
    name: str,
    hint: Any,
    raw: object,
) -> Iterator[SettingsProblem]:
    try:
        convert(raw, hint)
    except ValidationError:
        yield SettingsProblem(name, show_found(name, raw), explain_fix(hint))
        return
    if hint is str and not raw:
        yield SettingsProblem(name, show_found(name, raw), TEXT_FIX)
    if isinstance(raw, list) and not _are_ips(raw):
        yield SettingsProblem(name, show_found(name, raw), IP_FIX)


def _are_ips(texts: list[str]) -> bool:
    try:
        return all(str(ip_address(text)) for text in texts)
    except ValueError:
        return False
