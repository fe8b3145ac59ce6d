"""Strict check of a request's head before anything parses it.

Two servers that parse one head differently can be made to disagree on where a
request ends (request smuggling), so each ambiguous form is refused.
"""

import re
from typing import Final

from hillfield.model import RequestFailure
from hillfield.proxy.failures import Fault
from hillfield.proxy.settings import ProxySettings

_LINE: Final = re.compile(
    rb"(?:\r\n)?([!#$%&'*+\-.^_`|~0-9A-Za-z]+)"
    rb' ([\x21-\x7e]+) HTTP/1\.([01])\r\n',
)
_FIELDS: Final = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
    rb':[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n',
)
_FRAMING: Final = re.compile(
    rb'\r\n(content-length|transfer-encoding|host|expect)'
    rb':[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)',
    re.IGNORECASE,
)
_ABSOLUTE: Final = re.compile(
    rb'https?://([^/?#@]+)(/[^#]*|\?[^#]*)?',
    re.IGNORECASE,
)
_ORIGIN: Final = re.compile(rb'/[^#]*')
_DIGITS: Final = re.compile(rb'[0-9]{1,18}')
_OLD_VERSION: Final = b'0'


def screen_head(
    head: bytes,
    settings: ProxySettings,
) -> RequestFailure | None:
    """Return the failure for an ambiguous or oversized head, or None."""
    line = _LINE.match(head)
    if line is None:
        return Fault.MALFORMED.failure('the request line is malformed')
    if _FIELDS.fullmatch(head, line.end()) is None:
        return Fault.MALFORMED.failure('a header field is malformed')
    if len(line[2]) > settings.url_limit:
        return Fault.URL_TOO_LONG.failure(
            f'the URL exceeds {settings.url_limit} bytes',
        )
    fields: dict[bytes, bytes] = {}
    for name, text in _FRAMING.findall(head, line.end() - 2):
        if fields.setdefault(name.lower(), text) is not text:
            return Fault.MALFORMED.failure(
                f'{name.decode()} is given more than once',
            )
    return (
        _screen_target(line, fields)
        or _screen_length(fields, settings)
        or _screen_coding(line[3], fields)
    )


def _screen_target(
    line: re.Match[bytes],
    fields: dict[bytes, bytes],
) -> RequestFailure | None:
    host = fields.get(b'host')
    if host is None:
        if line[3] != _OLD_VERSION:
            return Fault.MALFORMED.failure('the Host header is missing')
    absolute = _ABSOLUTE.fullmatch(line[2])
    if absolute is not None:
        return _screen_authority(absolute[1], host)
    if _ORIGIN.fullmatch(line[2]) is None:
        return _screen_asterisk(line[1], line[2])
    return None


def _screen_asterisk(method: bytes, target: bytes) -> RequestFailure | None:
    if method == b'OPTIONS' and target == b'*':
        return None
    return Fault.MALFORMED.failure('the request target is malformed')


def _screen_authority(
    authority: bytes,
    host: bytes | None,
) -> RequestFailure | None:
    if host is None or authority.lower() == host.lower():
        return None
    return Fault.MALFORMED.failure('the URL and Host name other hosts')


def _screen_length(
    fields: dict[bytes, bytes],
    settings: ProxySettings,
) -> RequestFailure | None:
    length = fields.get(b'content-length')
    if length is None:
        return None
    if _DIGITS.fullmatch(length) is None:
        return Fault.MALFORMED.failure('Content-Length is not a length')
    if int(length) > settings.body_limit:
        return Fault.BODY_TOO_LARGE.failure(
            f'the body exceeds {settings.body_limit} bytes',
        )
    return None


def _screen_coding(
    version: bytes,
    fields: dict[bytes, bytes],
) -> RequestFailure | None:
    expectation = fields.get(b'expect', b'100-continue')
    if expectation.lower() != b'100-continue':
        return Fault.EXPECTATION.failure('only 100-continue is supported')
    coding = fields.get(b'transfer-encoding')
    if coding is None:
        return None
    if b'content-length' in fields:
        return Fault.MALFORMED.failure(
            'Content-Length and Transfer-Encoding are both given',
        )
    if version == _OLD_VERSION or coding.lower() != b'chunked':
        return Fault.MALFORMED.failure('the transfer coding is not supported')
    return None
