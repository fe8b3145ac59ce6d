"""What the headers of callers and of targets mean."""

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


def tell_no_room() -> str:
    """Return nothing: no gate stands here."""
    return ''


class CallerDialect(Struct, frozen=True):
    """Say how callers and this node speak.

    `deadline` names the header with the milliseconds that a caller waits,
    `key_scheme` the scheme of credentials that are one bare key (empty: only
    HTTP Basic is read),
    `removed` the headers that are not passed on (named as tornado normalises
    them), `keeps_ids` says that a request's id is passed on as it came even
    if one like it is in flight, `fractional` that callers understand
    fractions of a second in `Retry-After`. `tell_room` returns the header that
    tells them of the room at the host's target (empty: there is none).
    """

    deadline: str = DEADLINE
    key_scheme: str = ''
    removed: frozenset[str] = frozenset()
    keeps_ids: bool = False
    fractional: bool = False
    tell_room: Callable[[], str] = tell_no_room


class TargetDialect(Protocol):
    """Say how this node speaks with what it sends requests to."""

    def add_fields(
        self,
        fields: Fields,
        plan: RequestPlan,
        send: Send,
        remaining: float,
    ) -> None:
        """Add what a request carries; `remaining` is in seconds."""

    def read_failure(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> Observation | None:
        """Return what an answer means that no target's work has made."""

    def read_room(
        self,
        target: TargetId,
        headers: HTTPHeaders,
    ) -> LoadReport | None:
        """Return what an answer tells of the room at its target, if so."""

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> TargetNotice | None:
        """Return what an answer says of its target; None: it can't say."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Tell whether an answer belongs to the request of this id."""

    def note_headers(self, headers: HTTPHeaders) -> None:
        """Look at the headers of an answer that belongs to its request."""

    @property
    def sends_signs(self) -> bool:
        """Tell whether interim answers are signs of life of a node."""


class OwnDialect:
    """Speak as hillfield's own targets do."""

    def add_fields(
        self,
        fields: Fields,
        plan: RequestPlan,
        send: Send,
        remaining: float,
    ) -> None:
        """Add the deadline and the client account."""
        fields.add(DEADLINE, show_milliseconds(remaining))
        if plan.account:
            fields.add('Hillfield-Account', plan.account)

    def read_failure(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> Observation | None:
        """Read the documented shed answer."""
        if status != HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        if headers.get(OUTCOME, '') != NOT_RUN:
            return None
        return Shed(read_retry_after(headers))

    def read_room(
        self,
        target: TargetId,
        headers: HTTPHeaders,
    ) -> None:
        """Return nothing: targets don't tell of their room."""

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> None:
        """Return nothing: targets say nothing of themselves."""

    def is_answer_to(self, request: str, headers: HTTPHeaders) -> bool:
        """Believe the connection: these targets answer in order."""
        return True

    def note_headers(self, headers: HTTPHeaders) -> None:
        """Look at none: all that these targets say is documented."""

    @property
    def sends_signs(self) -> bool:
        """Tell that interim answers come of the target itself."""
        return False


def names_request(request: str, headers: HTTPHeaders) -> bool:
    """Tell whether an answer names the request of this id, or none.

    >>> names_request('a', HTTPHeaders({'X-Request-Id': 'b'}))
    False
    """
    return headers.get(REQUEST_ID, request) == request


def show_milliseconds(seconds: float) -> str:
    """Return whole milliseconds, 0 at the least.

    >>> show_milliseconds(0.25), show_milliseconds(-1)
    ('250', '0')
    """
    return str(max(0, int(seconds * MILLISECONDS)))


def read_retry_after(headers: HTTPHeaders) -> float | None:
    """Return the seconds of a Retry-After header, if it has them.

    >>> read_retry_after(HTTPHeaders({'Retry-After': '0.25'}))
    0.25
    >>> read_retry_after(HTTPHeaders({'Retry-After': 'Fri, 31 Dec 1999'}))
    """
    text = headers.get('Retry-After', '')
    whole, _, fraction = text.partition('.')
    digits = whole + fraction
    return float(text) if digits.isascii() and digits.isdigit() else None
