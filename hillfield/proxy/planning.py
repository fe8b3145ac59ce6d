"""Planning of a request once its head has arrived."""

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.structs import replace
from tornado.httputil import HTTPHeaders, RequestStartLine

from hillfield.holding import COME_BACK, Holder
from hillfield.model import RequestFailure, RequestPlan
from hillfield.proxy.bodies import RequestBody
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.failures import Fault
from hillfield.proxy.heads import (
    Passage,
    read_deadline,
    read_path,
    read_request_head,
    read_request_id,
)
from hillfield.proxy.identifiers import find_request_id
from hillfield.proxy.orders import Order, find_reserve, has_body


class Naming(Struct, frozen=True):
    """Ids of a request: the one that others see, and this node's own key."""

    request: str
    key: str


def plan_order(
    context: ProxyContext,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
    body: RequestBody,
    naming: Naming,
    came: float,
) -> Result[Order, RequestFailure]:
    """Return what each attempt sends, or the failure to answer with.

    The deadline counts from `received_at`, when the head had arrived.
    """
    dialect = context.settings.callers
    head = read_request_head(start_line, headers, dialect.key_scheme)
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
        Order(
            start_line._replace(path=read_path(start_line.path)),
            headers,
            body,
            plan,
            Passage(
                naming.request,
                naming.key,
                context.settings.node,
                dialect.removed,
                dialect.key_scheme,
            ),
            came + deadline,
            Holder(context.settings.budget, plan.account),
        ),
    )


def name_request(headers: HTTPHeaders, context: ProxyContext) -> Naming:
    """Return the ids of a request; its key is unique among those in flight."""
    key = find_request_id(headers, context.takers)
    if context.settings.callers.keeps_ids:
        return Naming(read_request_id(headers) or key, key)
    return Naming(key, key)


def rename_order(order: Order, context: ProxyContext) -> Order:
    """Return a request that has waited with an id that is free now."""
    naming = name_request(order.headers, context)
    passage = replace(order.passage, request=naming.request, key=naming.key)
    return replace(order, passage=passage)


def reserve_bytes(order: Order, part_size: int) -> RequestFailure | None:
    """Reserve memory for a request before its body is read, or refuse it."""
    detail = order.holder.reserve(*find_reserve(order, part_size))
    if not detail:
        return None
    return Fault.BYTES.failure(detail, retry_after=COME_BACK)


def runs_beside(order: Order | None, headers: HTTPHeaders) -> bool:
    """Return whether a request may run before the answers ahead are sent.

    If the connection ended within an earlier answer, a request that must run
    only once could neither be stopped nor repeated. A request without an aim
    has no latency target to meet. A body would be read while other answers are
    written. A refused request (None) runs nothing.
    """
    if 'Upgrade' in headers or 'Expect' in headers or has_body(headers):
        return False
    if order is None:
        return True
    return order.plan.idempotent and order.plan.aim > 0
