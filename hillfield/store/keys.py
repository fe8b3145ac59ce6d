"""Ranges of keys."""

from typing import Final

LAST_BYTE: Final = 0xFF
# The gateway reads a lone zero byte as "from the first key" or "to the last".
ANY_KEY: Final = b'\0'


def find_prefix_end(prefix: bytes) -> bytes:
    r"""Return the first key after all that start with the prefix.

    >>> find_prefix_end(b'/a/')
    b'/a0'
    >>> find_prefix_end(b'')
    b'\x00'
    """
    stem = prefix.rstrip(bytes((LAST_BYTE,)))
    if not stem:
        return ANY_KEY
    last = stem[-1] + 1
    return stem[:-1] + bytes((last,))


def find_successor(key: bytes) -> bytes:
    r"""Return the key right after this one.

    >>> find_successor(b'a')
    b'a\x00'
    """
    return key + ANY_KEY
