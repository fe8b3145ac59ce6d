"""Planning of a request once its head has arrived."""

from collections.abc import Container
from itertools import count
from secrets import token_hex
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.structs import replace
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.clocks import monotonic
from hillfield.holding import RETRY_AFTER, ByteReservation
from hillfield.model import RequestFailure, RequestPlan
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.failures import Fault
from hillfield.proxy.heads import (
    ForwardingContext,
    read_deadline,
    read_path,
    read_request_head,
    read_request_id,
)
from hillfield.proxy.plannedrequests import (
    PlannedRequest,
    compute_reserve,
    has_body,
)

# One prefix per process and one number per request: unique in the fleet.
_PREFIX: Final = token_hex(6)
_NUMBERS: Final = count(1)


class RequestIds(Struct, frozen=True):
    """Ids of a request: the one that others see, and this node's own key."""

    request: str
    key: str


def plan_request(
    context: ProxyContext,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
    body: RequestBody,
    ids: RequestIds,
    received_at: float,
) -> Result[PlannedRequest, RequestFailure]:
    """Return what each attempt sends, or the failure to answer with.

    The deadline counts from `received_at`, when the head had arrived.
    """
    dialect = context.settings.callers
    head = read_request_head(
        start_line, headers, dialect.key_scheme, ids.request
    )
    resolved = context.plans.resolve(head)
    if resolved.is_error():
        return Error(resolved.error)
    plan: RequestPlan = resolved.ok
    deadline = read_deadline(headers.get(dialect.deadline), plan.deadline)
    if deadline is None:
        return Error(
            Fault.MALFORMED.failure(
                f'{dialect.deadline} is not a number of milliseconds',
            ),
        )
    if deadline <= 0:
        return Error(Fault.DEADLINE_NOT_RUN.failure('the deadline is 0'))
    return Ok(
        PlannedRequest(
            start_line._replace(path=read_path(start_line.path)),
            headers,
            body,
            plan,
            ForwardingContext(
                ids.request,
                ids.key,
                context.settings.node,
                dialect.removed,
                dialect.key_scheme,
            ),
            received_at + deadline,
            ByteReservation(context.settings.budget, plan.account),
        ),
    )


def assign_ids(headers: HTTPHeaders, context: ProxyContext) -> RequestIds:
    """Return the ids of a request; its key is unique among those in flight."""
    key = assign_request_id(headers, context.in_flight)
    if context.settings.callers.keeps_ids:
        return RequestIds(read_request_id(headers) or key, key)
    return RequestIds(key, key)


def renew_ids(planned: PlannedRequest, context: ProxyContext) -> PlannedRequest:
    """Return a request that has waited with an id that is free now."""
    ids = assign_ids(planned.headers, context)
    forwarding = replace(planned.forwarding, request=ids.request, key=ids.key)
    return replace(planned, forwarding=forwarding)


def reserve_bytes(
    planned: PlannedRequest,
    part_size: int,
) -> RequestFailure | None:
    """Reserve memory for a request before its body is read, or refuse it."""
    detail = planned.holder.reserve(*compute_reserve(planned, part_size))
    if not detail:
        return None
    return Fault.BYTES.failure(detail, retry_after=RETRY_AFTER)


def may_run_concurrently(
    planned: PlannedRequest | None,
    headers: HTTPHeaders,
) -> bool:
    """Return whether a request may run before the answers ahead are sent.

    If the connection ended within an earlier answer, a request that must run
    only once could neither be stopped nor repeated. A request without an aim
    has no latency target to meet. A body would be read while other answers are
    written. A refused request (None) runs nothing.
    """
    if 'Upgrade' in headers or 'Expect' in headers or has_body(headers):
        return False
    if planned is None:
        return True
    return planned.plan.idempotent and planned.plan.aim > 0


def assign_request_id(headers: HTTPHeaders, in_use: Container[str]) -> str:
    """Return the caller's request id, made unique among those in flight."""
    given = read_request_id(headers)
    if given and given not in in_use:
        return given
    number = next(_NUMBERS)
    if given:
        return f'{given}.{number:x}'
    return f'{_PREFIX}-{number:x}'


def find_late_arrival(
    context: ProxyContext,
    planned: PlannedRequest,
) -> RequestFailure | None:
    """Return the refusal of a request that has come too late to be served."""
    limits = context.drain_limits
    now = monotonic()
    if limits is None or limits.may_accept(now, planned.expires):
        return None
    return _refuse_late(limits.ends - now)


def find_late_send(
    context: ProxyContext,
    planned: PlannedRequest,
    *,
    may_have_run: bool,
) -> RequestFailure | None:
    """Return the refusal of a request whose answer could not come in time."""
    limits = context.drain_limits
    now = monotonic()
    if limits is None:
        return None
    if limits.may_send(now, planned.expires, planned.plan.aim):
        return None
    return _refuse_late(limits.ends - now, may_have_run=may_have_run)


def _refuse_late(left: float, *, may_have_run: bool = False) -> RequestFailure:
    """Return the failure; when the drain ends the host's next node starts."""
    detail = f'the node stops in {left:.2f} s'
    if may_have_run:
        return Fault.STOPPING_UNKNOWN.failure(detail)
    return Fault.STOPPING.failure(detail, retry_after=max(0, left))
