"""Tables as TOML and JSON give them, and the data classes they fill."""

from collections.abc import Mapping
from functools import cache
from typing import Any, cast, get_type_hints

from msgspec.structs import asdict

from hillfield.model import Address, is_struct, parse_address
from hillfield.settings.fixes import ADDRESSES

Table = Mapping[str, object]


@cache
def read_hints(kind: type) -> Mapping[str, Any]:
    """Return the types of a data class with their notes, read once."""
    return get_type_hints(kind, include_extras=True)


@cache
def _read_plain_hints(kind: type) -> Mapping[str, Any]:
    return get_type_hints(kind)


def prepare_table(kind: type, table: Table) -> dict[str, object]:
    """Return the table with its addresses parsed; it has no problems."""
    hints = _read_plain_hints(kind)
    prepared: dict[str, object] = {}
    for name, raw in table.items():
        prepared[name] = _prepare(hints[name], raw)
    return prepared


def _prepare(hint: Any, raw: object) -> object:
    if hint is Address:
        return asdict(_read_address(raw))
    if hint == ADDRESSES:
        return [asdict(_read_address(text)) for text in cast(list[str], raw)]
    if is_struct(hint):
        return prepare_table(cast(type, hint), cast(Table, raw))
    return raw


def _read_address(raw: object) -> Address:
    return parse_address(cast(str, raw)).ok
