"""Headers of requests and answers that a node forwards."""

import re
from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Iterable
from typing import Final

from msgspec import Struct
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.loadreports import CAPACITY_HEADER
from hillfield.proxy.fields import Fields
from hillfield.proxy.ports import RequestHead

HOP: Final = 'Hillfield-Hop'
_REQUEST_ID_NAME: Final = 'X-Request-Id'
# Names are in tornado's normalized case.
_HOP_BY_HOP: Final = frozenset(
    (
        'Connection',
        'Keep-Alive',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'Proxy-Connection',
        'Te',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
    ),
)
# Set by the node itself, or a claim that only the node may make.
_OWN: Final = frozenset(
    (
        'Content-Length',
        'Expect',
        'Hillfield-Account',
        'Hillfield-Event',
        HOP,
        'Hillfield-Outcome',
        'Hillfield-Peer',
        'Hillfield-Step',
        CAPACITY_HEADER,
        'X-Deadline-Ms',
        _REQUEST_ID_NAME,
    ),
)
_REMOVED: Final = _HOP_BY_HOP | _OWN
_KEPT: Final = frozenset(('Host', 'Idempotency-Key'))
_PLAIN_CONNECTION: Final = frozenset(('', 'close', 'keep-alive'))
_REQUEST_ID: Final = re.compile('[A-Za-z0-9._:/+=-]{1,128}')
_MILLISECONDS: Final = re.compile('[0-9]{1,12}')
_ABSOLUTE: Final = re.compile('https?://[^/?#]+', re.IGNORECASE)
_AUTHORIZATION: Final = 'Authorization'
_BASIC: Final = 'basic'
_PER_SECOND: Final = 1000


class ForwardingContext(Struct, frozen=True):
    """Settings for the headers of one request that is forwarded.

    `request` is the id that others see, `key` the one by which this node
    identifies the request among all in flight, `node` the name for `Via`
    (empty: no `Via` is added), `removed` the headers that are not forwarded,
    `key_scheme` the credentials scheme that is not forwarded, like HTTP Basic.
    """

    request: str
    key: str
    node: str
    removed: frozenset[str] = frozenset()
    key_scheme: str = ''


def read_request_head(
    start_line: RequestStartLine,
    headers: HTTPHeaders,
    key_scheme: str = '',
    request: str = '',
) -> RequestHead:
    """Return the parts of a request's head that a plan depends on.

    `request` is the id that others see.

    >>> line = RequestStartLine('GET', 'http://till/a?b', 'HTTP/1.1')
    >>> read_request_head(line, HTTPHeaders()).path
    '/a?b'
    """
    account, secret = read_credentials(
        headers.get(_AUTHORIZATION, ''),
        key_scheme,
    )
    return RequestHead(
        start_line.method,
        read_path(start_line.path),
        account,
        secret,
        headers.get('Idempotency-Key', ''),
        headers.get('Host', ''),
        headers.get(HOP, ''),
        request,
    )


def read_path(target: str) -> str:
    """Return the request target in origin form (path and query).

    >>> read_path('http://till?x'), read_path('/a'), read_path('*')
    ('/?x', '/a', '*')
    """
    absolute = _ABSOLUTE.match(target)
    if absolute is None:
        return target
    path = target[absolute.end() :]
    if path.startswith('/'):
        return path
    return f'/{path}'


def read_credentials(text: str, key_scheme: str = '') -> tuple[str, str]:
    """Return account and secret, or empty strings.

    They are sent as HTTP Basic credentials or, where there is a
    `key_scheme`, as a single key that identifies its account by itself.

    >>> read_credentials('Basic dGlsbDpvcGVu')
    ('till', 'open')
    >>> read_credentials('Bearer x')
    ('', '')
    >>> read_credentials('Bearer x', 'Bearer')
    ('', 'x')
    """
    scheme, _, rest = text.partition(' ')
    if key_scheme and scheme.lower() == key_scheme.lower():
        return '', rest.strip()
    if scheme.lower() != _BASIC:
        return '', ''
    try:
        decoded = b64decode(rest, validate=True).decode()
    except (Base64Error, ValueError):
        return '', ''
    account, _, secret = decoded.partition(':')
    return account, secret


def read_request_id(headers: HTTPHeaders) -> str:
    """Return the caller's request id, or an empty string if it is invalid."""
    request = headers.get(_REQUEST_ID_NAME, '')
    if _REQUEST_ID.fullmatch(request):
        return request
    return ''


def read_deadline(text: str | None, deadline: float) -> float | None:
    """Return the shorter of the caller's deadline and the plan's, seconds.

    `text` is the caller's header, in milliseconds; None if there is none.

    >>> read_deadline('250', 2)
    0.25
    >>> read_deadline('soon', 2)
    """
    if text is None:
        return deadline
    if _MILLISECONDS.fullmatch(text) is None:
        return None
    return min(deadline, int(text) / _PER_SECOND)


def forward_request_fields(
    headers: HTTPHeaders,
    forwarding: ForwardingContext,
) -> Fields:
    """Return the headers for the target, before its dialect adds others.

    The secret of the client account is not forwarded.
    """
    passed = Fields(
        pair
        for pair in _select(headers, forwarding.removed)
        if not _is_credentials(pair, forwarding.key_scheme)
    )
    if forwarding.node:
        passed.add('Via', f'1.1 {forwarding.node}')
    passed.add(_REQUEST_ID_NAME, forwarding.request)
    return passed


def forward_answer_fields(
    headers: HTTPHeaders,
    forwarding: ForwardingContext,
) -> Fields:
    """Return the headers for the caller, without the body's length."""
    passed = Fields(_select(headers, frozenset()))
    if forwarding.node:
        passed.add('Via', f'1.1 {forwarding.node}')
    passed.add(_REQUEST_ID_NAME, forwarding.request)
    return passed


def _is_credentials(pair: tuple[str, str], key_scheme: str) -> bool:
    name, text = pair
    if name != _AUTHORIZATION:
        return False
    scheme = text.strip().partition(' ')[0].lower()
    return scheme in {_BASIC, key_scheme.lower()}


def _select(
    headers: HTTPHeaders,
    further: frozenset[str],
) -> Iterable[tuple[str, str]]:
    removed = _REMOVED | further if further else _REMOVED
    connection = headers.get('Connection', '')
    if connection.lower() not in _PLAIN_CONNECTION:
        removed |= _read_named(connection)
    return [pair for pair in headers.get_all() if pair[0] not in removed]


def _read_named(connection: str) -> frozenset[str]:
    named = (name.strip().title() for name in connection.split(','))
    return frozenset(named) - _KEPT
