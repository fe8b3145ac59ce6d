"""The platform's headers, between callers, nodes and targets."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from tornado.httputil import HTTPHeaders

from hillfield.gate import ServedIncarnation
from hillfield.model import AnswerChecks, RequestPlan
from hillfield.proxy.dialects import (
    CallerDialect,
    format_milliseconds,
    read_retry_after,
)
from hillfield.proxy.fields import Fields
from hillfield.proxy.notices import AnswerHeaders, NoticeDialect
from hillfield.proxy.unknownheaders import UnknownHeaders
from hillfield.routing.requests import Observation, Send, Shed

# Milliseconds that the sender will wait.
DEADLINE: Final = 'X-Deadline'
# The name by which a target calls its present life.
TARGET_NAME: Final = 'X-Target-Instance'
# The service on whose host a request began.
ORIGIN: Final = 'X-Caller-Service'
# The account that holds the caller's key.
ACCOUNT: Final = 'X-Tenant'
KEY_SCHEME: Final = 'Token'
# A digest that only the target that made an answer can write.
SIGNATURE: Final = 'X-Server-Signature'
# Says that a target did not run the request, whatever the status.
NOT_RUN: Final = 'X-Not-Executed'
MISDIRECTED: Final[int] = HTTPStatus.MISDIRECTED_REQUEST
WORDS: Final = AnswerHeaders(
    SIGNATURE,
    limit='Server-Limit',
    leaving='Server-Leaving',
    others=frozenset((NOT_RUN, 'X-Server-Load', 'X-Instance-Id')),
)

# What only a node may say, or what it says anew, ends at the node.
OWN: Final = frozenset((DEADLINE, TARGET_NAME, ORIGIN, ACCOUNT))
CALLERS: Final = CallerDialect(
    deadline=DEADLINE,
    key_scheme=KEY_SCHEME,
    removed=OWN,
    keeps_ids=True,
    fractional=True,
)
# Other nodes speak as hillfield's own nodes do.
HOPS: Final = CallerDialect(
    key_scheme=KEY_SCHEME,
    removed=OWN,
    keeps_ids=True,
    fractional=True,
)
# An answer without the target's digest is not the target's.
SIGNED: Final = AnswerChecks(wrong_statuses=(), required_header=SIGNATURE)
ONCE: Final = AnswerChecks(wrong_statuses=(), relays_wrong=True)
REPEATABLE: Final = AnswerChecks(relays_wrong=True)


class TargetHeaders(NoticeDialect):
    """Speak with the host's target; `find_seat` names its present life."""

    def __init__(
        self,
        find_seat: Callable[[], ServedIncarnation | None],
        unread: UnknownHeaders,
    ) -> None:
        """Ask for the seat at each request; `unread` sees all headers."""
        super().__init__(WORDS, unread)
        self._find_seat = find_seat

    def add_fields(
        self,
        fields: Fields,
        plan: RequestPlan,
        send: Send,
        remaining: float,
    ) -> None:
        """Add the time left, the life meant, where it began and for whom."""
        fields.add(DEADLINE, format_milliseconds(remaining))
        fields.add(ORIGIN, plan.origin)
        if plan.account:
            fields.add(ACCOUNT, plan.account)
        seat = self._find_seat()
        if seat is not None and seat.target.id == send.target:
            fields.add(TARGET_NAME, seat.name)

    def read_failure(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> Observation | None:
        """Read the platform's ways to say that a request did not run."""
        if status == MISDIRECTED or NOT_RUN in headers:
            return Shed(read_retry_after(headers))
        return None
