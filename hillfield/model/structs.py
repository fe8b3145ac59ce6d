"""Helpers for msgspec structs."""

from typing import Final, TypeGuard

from msgspec import Struct
from msgspec.json import Encoder

_ENCODER: Final = Encoder()
_NULL_LAST_FIELD: Final = b',null]'


def is_struct(kind: object) -> TypeGuard[type[Struct]]:
    """Return whether a type is a msgspec struct.

    >>> class Pair(Struct):
    ...     left: int
    >>> is_struct(Pair), is_struct(int), is_struct(Pair(1))
    (True, False, False)
    """
    return isinstance(kind, type) and issubclass(kind, Struct)


def encode_row(row: Struct) -> bytes:
    """Return a struct as a JSON array, without last fields that are None.

    >>> class Pair(Struct, array_like=True):
    ...     left: int
    ...     right: int | None = None
    >>> encode_row(Pair(1)), encode_row(Pair(1, 2))
    (b'[1]', b'[1,2]')
    """
    encoded = _ENCODER.encode(row)
    while encoded.endswith(_NULL_LAST_FIELD):
        encoded = b'%b]' % encoded.removesuffix(_NULL_LAST_FIELD)
    return encoded
