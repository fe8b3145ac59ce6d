"""Header dialects of callers and of targets."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, Protocol

from msgspec import Struct
from tornado.httputil import HTTPHeaders

from hillfield.loadreports import LoadReport
from hillfield.model import RequestPlan, TargetId, TargetNotice
from hillfield.proxy.fields import Fields
from hillfield.routing.requests import Observation, Send, Shed

OUTCOME: Final = 'Hillfield-Outcome'
NOT_RUN: Final = 'not-run'
DEADLINE: Final = 'X-Deadline-Ms'
REQUEST_ID: Final = 'X-Request-Id'
MILLISECONDS: Final = 1000


def report_no_capacity() -> str:
    """Return an empty string: this node has no gate."""
    return ''


class CallerDialect(Struct, frozen=True):
    """Headers between callers and this node.

    `deadline` names the header with the milliseconds that a caller waits,
    `key_scheme` the scheme of credentials that are one bare key (empty: only
    HTTP Basic is read), `removed` the headers that are not forwarded, in
    tornado's normalized case. `keeps_ids`: a request's id is forwarded as
    received even if another request in flight has it; `fractional`: callers
    accept fractions of a second in `Retry-After`. `report_capacity` returns
    the header with the capacity of the host's target (empty: none is sent).
    """

    deadline: str = DEADLINE
    key_scheme: str = ''
    removed: frozenset[str] = frozenset()
    keeps_ids: bool = False
    fractional: bool = False
    report_capacity: Callable[[], str] = report_no_capacity


class TargetDialect(Protocol):
    """Headers between this node and the servers that it sends requests to."""

    def add_fields(
        self,
        fields: Fields,
        plan: RequestPlan,
        send: Send,
        remaining: float,
    ) -> None:
        """Add the dialect's headers to a request; `remaining` is in seconds."""

    def read_failure(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> Observation | None:
        """Return what a failure means that the target did not produce."""

    def read_capacity(
        self,
        target: TargetId,
        headers: HTTPHeaders,
    ) -> LoadReport | None:
        """Return the target's capacity that an answer reports, if any."""

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> TargetNotice | None:
        """Return the target's notice; None if the answer can't carry one."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request of this id."""

    def inspect_headers(self, headers: HTTPHeaders) -> None:
        """Inspect the headers of an answer that belongs to its request."""

    @property
    def sends_keepalives(self) -> bool:
        """Return whether interim answers are keepalives of a node."""


class HillfieldDialect:
    """Dialect of targets that use hillfield's own headers."""

    def add_fields(
        self,
        fields: Fields,
        plan: RequestPlan,
        send: Send,
        remaining: float,
    ) -> None:
        """Add the deadline and the client account."""
        fields.add(DEADLINE, format_milliseconds(remaining))
        if plan.account:
            fields.add('Hillfield-Account', plan.account)

    def read_failure(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> Observation | None:
        """Return Shed for the documented load shedding answer."""
        if status != HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        if headers.get(OUTCOME, '') != NOT_RUN:
            return None
        return Shed(read_retry_after(headers))

    def read_capacity(
        self,
        target: TargetId,
        headers: HTTPHeaders,
    ) -> None:
        """Return None: targets don't report their capacity."""

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> None:
        """Return None: these targets send no notices."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Return True: these targets answer in order on each connection."""
        return True

    def inspect_headers(self, headers: HTTPHeaders) -> None:
        """Ignore them: all headers of these targets are documented."""

    @property
    def sends_keepalives(self) -> bool:
        """Return False: interim answers come from the target itself."""
        return False


def names_request(request: str, headers: HTTPHeaders) -> bool:
    """Return whether an answer names the request of this id, or none.

    >>> names_request('a', HTTPHeaders({'X-Request-Id': 'b'}))
    False
    """
    return headers.get(REQUEST_ID, request) == request


def format_milliseconds(seconds: float) -> str:
    """Return whole milliseconds as text, at least 0.

    >>> format_milliseconds(0.25), format_milliseconds(-1)
    ('250', '0')
    """
    return str(max(0, int(seconds * MILLISECONDS)))


def read_retry_after(headers: HTTPHeaders) -> float | None:
    """Return the seconds of a Retry-After header, or None.

    >>> read_retry_after(HTTPHeaders({'Retry-After': '0.25'}))
    0.25
    >>> read_retry_after(HTTPHeaders({'Retry-After': 'Fri, 31 Dec 1999'}))
    """
    text = headers.get('Retry-After', '')
    integer, _, fraction = text.partition('.')
    digits = integer + fraction
    return float(text) if digits.isascii() and digits.isdigit() else None
