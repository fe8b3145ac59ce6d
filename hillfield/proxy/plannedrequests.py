"""A planned request, as every attempt sends it."""

from typing import Final

from msgspec import Struct
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.crashes import RequestCaller, RequestIdentity
from hillfield.holding import ByteReservation
from hillfield.model import RequestPlan, normalize_authority
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.dialects import TargetDialect
from hillfield.proxy.fields import Fields
from hillfield.proxy.heads import ForwardingContext, forward_request_fields
from hillfield.routing.requests import Send

_LENGTH: Final = 'Content-Length'
# Copies of a buffered body: as received, and as written to the target.
COPIES: Final = 2
# Parts of a streamed body in memory at a time: one read from the caller, one
# queued, one written to the target, and one still being received.
STREAMED_PARTS: Final = 4
_BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


class PlannedRequest(Struct, frozen=True):
    """A planned request; `expires` is in monotonic seconds.

    `holder` counts the bytes held in memory for it.
    """

    start_line: RequestStartLine
    headers: HTTPHeaders
    body: RequestBody
    plan: RequestPlan
    forwarding: ForwardingContext
    expires: float
    holder: ByteReservation


def list_fields(
    planned: PlannedRequest,
    dialect: TargetDialect,
    send: Send,
    remaining: float,
) -> Fields:
    """Return the headers of an attempt with the body's length, if known."""
    fields = forward_request_fields(planned.headers, planned.forwarding)
    dialect.add_fields(fields, planned.plan, send, remaining)
    length = compute_body_length(planned)
    if length is not None:
        fields.add(_LENGTH, str(length))
    return fields


def describe_identity(planned: PlannedRequest) -> RequestIdentity:
    """Return the properties by which a repeated request is recognized.

    Of a streamed body, only the part received so far counts.
    """
    plan = planned.plan
    return RequestIdentity(
        planned.start_line.method,
        normalize_authority(planned.headers.get('Host', '')),
        planned.start_line.path,
        RequestCaller(plan.origin, plan.account),
        planned.body.join(),
    )


def compute_body_length(planned: PlannedRequest) -> int | None:
    """Return the body's length in bytes; None if it has none or is unknown."""
    if not planned.body.streamed:
        if planned.body.size or planned.start_line.method in _BODY_METHODS:
            return planned.body.size
        return None
    announced = planned.headers.get(_LENGTH)
    return None if announced is None else int(announced)


def compute_reserve(planned: PlannedRequest, part_size: int) -> tuple[int, int]:
    """Return the bytes held at a time, and those of the whole body.

    A body of unknown length counts as 0 here: it is counted as it arrives.
    """
    if not has_body(planned.headers):
        return 0, 0
    streamed = STREAMED_PARTS * part_size
    announced = planned.headers.get(_LENGTH)
    if announced is None:
        return streamed, 0
    length = int(announced)
    return min(COPIES * length, streamed), length


def needs_length(planned: PlannedRequest) -> bool:
    """Return whether streaming needs a length: tornado chunks few methods."""
    if planned.start_line.method in _BODY_METHODS:
        return False
    return planned.body.streamed and _LENGTH not in planned.headers


def has_body(headers: HTTPHeaders) -> bool:
    """Return whether a body follows the head of a request.

    >>> has_body(HTTPHeaders({'Content-Length': '0'}))
    False
    """
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get(_LENGTH, '0') != '0'
