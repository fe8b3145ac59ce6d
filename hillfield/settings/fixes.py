"""Texts that tell how to mend a field of the settings."""

from enum import EnumMeta
from typing import Any, Final, get_args

from msgspec import Meta
from msgspec.structs import fields

from hillfield.model import Address, is_struct

HIDDEN: Final = 'a hidden text'
SECRETS: Final = frozenset(('cluster_key',))
LONGEST_SHOWN: Final = 80
TEXT_FIX: Final = 'write a text that is not empty, in quotes'
LIST_FIX: Final = "write a list such as ['127.0.0.1:2379']"
ADDRESS_FIX: Final = "write one such as '127.0.0.1:8080'"
IP_FIX: Final = "write IP numbers, such as ['10.0.0.7']"
BOOLEAN_FIX: Final = 'write true or false'
TABLE_FIX: Final = 'write a table with fields'
ADDRESSES: Final = tuple[Address, ...]


def explain_fix(hint: Any) -> str:
    """Return what to write in a field with this type."""
    for part in (hint, *get_args(hint)):
        for note in getattr(part, '__metadata__', ()):
            if isinstance(note, Meta) and note.description:
                return note.description
    if isinstance(hint, EnumMeta):
        names = ', '.join(map(repr, map(str, hint)))
        return f'write one of {names}'
    if is_struct(hint) and hint is not Address:
        names = ', '.join(member.name for member in fields(hint))
        return f'{TABLE_FIX} {names}'
    return _explain_text(hint)


def show_name(name: str) -> str:
    """Return a field's name; one that no field could have, in quotes.

    >>> show_name('seeds'), show_name('a b')
    ('seeds', "'a b'")
    """
    if name.isidentifier() and len(name) <= LONGEST_SHOWN:
        return name
    return repr(name[:LONGEST_SHOWN])


def show_found(name: str, raw: object) -> str:
    """Return what stands in a field, shortened; secrets stay hidden."""
    if name.rpartition('.')[-1] in SECRETS:
        return HIDDEN
    shown = repr(raw)
    if len(shown) > LONGEST_SHOWN:
        return '{0}...'.format(shown[:LONGEST_SHOWN])
    return shown


def _explain_text(hint: Any) -> str:
    if hint is Address:
        return ADDRESS_FIX
    if hint == ADDRESSES:
        return LIST_FIX
    if hint == tuple[str, ...]:
        return IP_FIX
    if hint is bool:
        return BOOLEAN_FIX
    return TEXT_FIX
