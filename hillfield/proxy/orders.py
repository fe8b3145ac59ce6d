"""A planned request, as every attempt sends it."""

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
# Copies of a buffered body: as received, and as written to the target.
COPIES: Final = 2
# Parts of a streamed body in memory at a time: one read from the caller, one
# queued, one written to the target, and one still being received.
STREAMED_PARTS: Final = 4
_BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


class Order(Struct, frozen=True):
    """A planned request; `expires` is in monotonic seconds.

    `holder` counts the bytes held in memory for it.
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
    """Return the properties by which a repeated request is recognized.

    Of a streamed body, only the part received so far counts.
    """
    return Likeness(
        order.start_line.method,
        order.headers.get('Host', ''),
        order.start_line.path,
        order.plan.account,
        order.body.join(),
    )


def find_length(order: Order) -> int | None:
    """Return the body's length in bytes; None if it has none or is unknown."""
    if not order.body.streamed:
        if order.body.size or order.start_line.method in _BODY_METHODS:
            return order.body.size
        return None
    announced = order.headers.get(_LENGTH)
    return None if announced is None else int(announced)


def find_reserve(order: Order, part_size: int) -> tuple[int, int]:
    """Return the bytes held at a time, and those of the whole body.

    A body of unknown length counts as 0 here: it is counted as it arrives.
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
    """Return whether streaming needs a length: tornado chunks few methods."""
    if order.start_line.method in _BODY_METHODS:
        return False
    return order.body.streamed and _LENGTH not in order.headers


def has_body(headers: HTTPHeaders) -> bool:
    """Return whether a body follows the head of a request.

    >>> has_body(HTTPHeaders({'Content-Length': '0'}))
    False
    """
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get(_LENGTH, '0') != '0'
