"""What every attempt of one request sends."""

from typing import Final

from msgspec import Struct
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.crashes import Likeness
from hillfield.holding import Holder
from hillfield.model import RequestPlan
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.dialects import TargetDialect
from hillfield.proxy.fields import Fields
from hillfield.proxy.heads import Passage, pass_request
from hillfield.routing.requests import Send

_LENGTH: Final = 'Content-Length'
# A body that is held is there as it came and as it is written.
COPIES: Final = 2
# A streamed one: read from the caller, on its way, written to the target, and
# one that is still taken in.
STREAMED_PARTS: Final = 4
_BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


class Order(Struct, frozen=True):
    """Hold a planned request; `expires` is in monotonic seconds.

    `holder` counts the bytes that are held for it.
    """

    start_line: RequestStartLine
    headers: HTTPHeaders
    body: RequestBody
    plan: RequestPlan
    passage: Passage
    expires: float
    holder: Holder


def list_fields(
    order: Order,
    dialect: TargetDialect,
    send: Send,
    remaining: float,
) -> Fields:
    """Return the headers of an attempt with the body's length, if known."""
    fields = pass_request(order.headers, order.passage)
    dialect.add_fields(fields, order.plan, send, remaining)
    length = find_length(order)
    if length is not None:
        fields.add(_LENGTH, str(length))
    return fields


def describe_likeness(order: Order) -> Likeness:
    """Return by what the request is known when it comes again.

    Of a body that is passed on in parts, what has come by now counts.
    """
    return Likeness(
        order.start_line.method,
        order.headers.get('Host', ''),
        order.start_line.path,
        order.plan.account,
        order.body.join(),
    )


def find_length(order: Order) -> int | None:
    """Return the bytes of the body; None when there is none or unknown."""
    if not order.body.streamed:
        if order.body.size or order.start_line.method in _BODY_METHODS:
            return order.body.size
        return None
    announced = order.headers.get(_LENGTH)
    return None if announced is None else int(announced)


def find_reserve(order: Order, part_size: int) -> tuple[int, int]:
    """Return the bytes kept here at a time, and those of the whole body.

    Of an unknown length nothing is known of the whole: it is counted as it
    comes.
    """
    if not has_body(order.headers):
        return 0, 0
    streamed = STREAMED_PARTS * part_size
    announced = order.headers.get(_LENGTH)
    if announced is None:
        return streamed, 0
    length = int(announced)
    return min(COPIES * length, streamed), length


def needs_length(order: Order) -> bool:
    """Tell that the body can't be streamed: tornado chunks few methods."""
    if order.start_line.method in _BODY_METHODS:
        return False
    return order.body.streamed and _LENGTH not in order.headers


def has_body(headers: HTTPHeaders) -> bool:
    """Tell whether a body follows the head of a request.

    >>> has_body(HTTPHeaders({'Content-Length': '0'}))
    False
    """
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get(_LENGTH, '0') != '0'
