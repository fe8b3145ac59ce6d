"""Write templates and client accounts as TOML."""

from collections.abc import Iterator
from functools import singledispatch
from typing import Any

from msgspec import NODEFAULT, Struct
from msgspec.json import encode
from msgspec.structs import fields

from hillfield.configuration.editing.goals import Part
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.templates import Template
from hillfield.configuration.storage.stored import SCHEMA


@singledispatch
def name_table(part: object) -> str:
    """Return the table that holds such a part."""
    raise TypeError(f'no table holds {type(part).__name__}')


@name_table.register
def _name_template(part: Template) -> str:
    return 'template'


@name_table.register
def _name_account(part: ClientAccount) -> str:
    return 'account'


def render_part(part: Part) -> tuple[str, ...]:
    """Return the lines of a part, without fields that have their default.

    >>> render_part(ClientAccount('desk', (), ()))[:2]
    ('[[account]]', 'name = "desk"')
    """
    table = name_table(part)
    return (f'[[{table}]]', *_render_fields(part, table))


def render_document(parts: tuple[Part, ...], based_on: int) -> str:
    """Return a file that `read_configuration` reads back."""
    head = [f'schema = {SCHEMA}', f'based_on = {based_on}']
    blocks = ['\n'.join(render_part(part)) for part in parts]
    return '{0}\n'.format('\n\n'.join(('\n'.join(head), *blocks)))


def _render_fields(owner: Any, table: str) -> Iterator[str]:
    nested: list[str] = []
    for field in fields(owner):
        setting = getattr(owner, field.name)
        if field.default is not NODEFAULT and setting == field.default:
            continue
        if _is_scalar(setting):
            yield f'{field.name} = {_render_literal(setting)}'
        else:
            nested.extend(_render_tables(setting, f'{table}.{field.name}'))
    yield from nested


def _is_scalar(setting: object) -> bool:
    if isinstance(setting, tuple):
        return not any(isinstance(part, Struct) for part in setting)
    return not isinstance(setting, Struct)


def _render_tables(setting: Any, path: str) -> Iterator[str]:
    if isinstance(setting, Struct):
        yield from ('', f'[{path}]', *_render_fields(setting, path))
        return
    for owner in setting:
        yield from ('', f'[[{path}]]', *_render_fields(owner, path))


def _render_literal(setting: object) -> str:
    if isinstance(setting, bytes):
        return _render_literal(setting.decode('utf-8', 'replace'))
    # JSON's texts, numbers and lists are TOML's too, but for one character.
    return encode(setting).decode('utf-8').replace('\x7f', r'\u007f')
