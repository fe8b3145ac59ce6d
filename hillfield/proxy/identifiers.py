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


def assign_request_id(headers: HTTPHeaders, in_use: Container[str]) -> str:
    """Return the caller's request id, made unique among those in flight."""
    given = read_request_id(headers)
    if given and given not in in_use:
        return given
    number = next(_NUMBERS)
    if given:
        return f'{given}.{number:x}'
    return f'{_PREFIX}-{number:x}'
