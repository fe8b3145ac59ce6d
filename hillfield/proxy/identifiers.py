"""Identifiers of requests."""

from collections.abc import Container
from itertools import count
from secrets import token_hex
from typing import Final

from tornado.httputil import HTTPHeaders

from hillfield.proxy.heads import read_request_id

# One prefix per process and one number per request: unique in the fleet.
_PREFIX: Final = token_hex(6)
_NUMBERS: Final = count(1)


def find_request_id(headers: HTTPHeaders, taken: Container[str]) -> str:
    """Return the caller's request id, made unique among those in flight."""
    given = read_request_id(headers)
    if given and given not in taken:
        return given
    number = next(_NUMBERS)
    if given:
        return f'{given}.{number:x}'
    return f'{_PREFIX}-{number:x}'
