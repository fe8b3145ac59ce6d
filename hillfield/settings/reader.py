"""Reading a node's settings from its file."""

import tomllib
from pathlib import Path
from typing import Any, Final

from expression import Error, Ok, Result
from msgspec import convert

from hillfield.settings.checks import find_problems
from hillfield.settings.node import NodeSettings
from hillfield.settings.problems import SettingsProblem
from hillfield.settings.tables import Table, prepare_table

KEY_FIELD: Final = 'cluster_key'
KEY_FILE_FIELD: Final = 'cluster_key_file'

Problems = tuple[SettingsProblem, ...]


def read_settings(path: Path) -> Result[NodeSettings, Problems]:
    """Read the file; the error names all its problems at once."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return _refuse('file', str(path), f'make it readable UTF-8 ({error})')
    return parse_settings(text, path.parent)


def parse_settings(
    text: str,
    folder: Path,
) -> Result[NodeSettings, Problems]:
    """Parse TOML; a relative `cluster_key_file` is sought in `folder`."""
    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return _refuse('file', 'no valid TOML', str(error))
    return _read_key(table, folder).bind(_build)


def _read_key(table: Table, folder: Path) -> Result[Table, Problems]:
    if KEY_FILE_FIELD not in table:
        return Ok(table)
    name = table[KEY_FILE_FIELD]
    if KEY_FIELD in table:
        return _refuse(
            KEY_FILE_FIELD,
            repr(name),
            f'write either {KEY_FIELD} or {KEY_FILE_FIELD}, not both',
        )
    if not isinstance(name, str):
        return _refuse(KEY_FILE_FIELD, repr(name), 'write a path in quotes')
    try:
        key = (folder / name).read_text('utf-8').strip()
    except (OSError, ValueError) as error:
        return _refuse(KEY_FILE_FIELD, repr(name), f'make it readable: {error}')
    rest = {
        field: raw for field, raw in table.items() if field != KEY_FILE_FIELD
    }
    return Ok({**rest, KEY_FIELD: key})


def _build(table: Table) -> Result[NodeSettings, Problems]:
    problems = tuple(find_problems(NodeSettings, table))
    if problems:
        return Error(problems)
    settings = convert(prepare_table(NodeSettings, table), NodeSettings)
    crossed = tuple(_cross_check(settings))
    return Error(crossed) if crossed else Ok(settings)


def _cross_check(settings: NodeSettings) -> Problems:
    announcements = settings.announcements
    problems: list[SettingsProblem] = []
    if announcements.expiry < 2 * announcements.heartbeat:
        problems.append(
            SettingsProblem(
                'announcements.expiry',
                str(announcements.expiry),
                'write at least twice announcements.heartbeat'
                f' ({announcements.heartbeat})',
            ),
        )
    if not settings.stores:
        problems.append(
            SettingsProblem('stores', '[]', 'name at least one address'),
        )
    return tuple(problems)


def _refuse(field: str, found: str, fix: str) -> Result[Any, Problems]:
    return Error((SettingsProblem(field, found, fix),))
