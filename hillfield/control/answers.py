"""Responses of the control server."""

from http import HTTPStatus
from traceback import extract_tb
from types import TracebackType
from typing import Any, Final

from msgspec.json import encode
from tornado.web import HTTPError, RequestHandler

from hillfield.announcements import AnnouncementProblem, Refusal
from hillfield.control.hostaddresses import HostAddresses
from hillfield.control.pages import ErrorPage, FieldProblem
from hillfield.control.ports import ControlPorts
from hillfield.events import EventCode, Occurrence, Timeline
from hillfield.settings import NodeSettings

MAXIMUM_DIGITS: Final = 19
MAXIMUM_TEXT_LENGTH: Final = 200
JSON_TYPE: Final = 'application/json; charset=utf-8'


class JsonHandler(RequestHandler):
    """Respond in JSON, errors included; the base of all handlers."""

    def initialize(
        self,
        settings: NodeSettings,
        ports: ControlPorts,
        host_addresses: HostAddresses,
    ) -> None:
        """Set the node's settings and parts."""
        self.node = settings
        self.ports = ports
        self.host_addresses = host_addresses

    def set_default_headers(self) -> None:
        """Remove the `Server` header, which names the library."""
        self.clear_header('Server')

    @property
    def step(self) -> str:
        """Return method and path of the request, for errors."""
        request = self.request
        return f'{request.method} {request.path}'

    def answer(self, page: Any, status: int = HTTPStatus.OK) -> None:
        """Finish the request with a page in JSON."""
        self.set_status(status)
        self.set_header('Content-Type', JSON_TYPE)
        self.finish(encode(page))

    def refuse(
        self,
        status: int,
        refusal: str,
        *problems: FieldProblem,
    ) -> None:
        """Finish the request with an error page that names the problems."""
        self.answer(
            ErrorPage(
                refusal,
                self.step,
                self.request.remote_ip or '',
                0,
                problems,
            ),
            status,
        )

    def log_exception(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Record an internal error; errors of the caller are not logged.

        The library writes both to standard error, without a bound on the
        number and length of lines that a caller can cause.
        """
        if isinstance(error, HTTPError):
            return
        frame = extract_tb(trace)[-1]
        detail = f'{error!r} at {frame.name}, line {frame.lineno}'
        self.ports.timeline.record(
            Occurrence(
                EventCode.CONTROL_REQUEST_FAILED,
                peer=self.request.remote_ip or '',
                step=self.step[:MAXIMUM_TEXT_LENGTH],
                detail=detail[:MAXIMUM_TEXT_LENGTH],
            ),
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to a request that the library refuses, such as a method."""
        phrase = HTTPStatus(status_code).phrase.lower()
        problem = FieldProblem(
            'request',
            str(self.request.method),
            'see docs/operators for the paths and their methods',
        )
        if status_code == HTTPStatus.BAD_REQUEST:
            problem = FieldProblem(
                'request',
                str(self.request.uri)[:MAXIMUM_TEXT_LENGTH],
                'write the query in UTF-8, percent-encoded, and a body in JSON',
            )
        self.refuse(status_code, phrase, problem)


class NotFound(JsonHandler):
    """Respond to requests for paths that do not exist."""

    def prepare(self) -> None:
        """Refuse the request, whatever its method."""
        self.refuse(
            HTTPStatus.NOT_FOUND,
            Refusal.UNKNOWN,
            FieldProblem(
                'path',
                self.request.path,
                'see docs/operators for the paths that exist',
            ),
        )


def choose_status(refusal: Refusal) -> HTTPStatus:
    """Return the HTTP status for a refused announcement."""
    match refusal:
        case Refusal.MALFORMED:
            return HTTPStatus.BAD_REQUEST
        case Refusal.FOREIGN:
            return HTTPStatus.FORBIDDEN
        case Refusal.UNKNOWN:
            return HTTPStatus.NOT_FOUND
        case Refusal.STALE:
            return HTTPStatus.CONFLICT
    return HTTPStatus.TOO_MANY_REQUESTS


def is_number(text: str) -> bool:
    """Return whether a text is a whole number of at most 19 digits.

    >>> is_number('12'), is_number('-1'), is_number('1' * 20)
    (True, False, False)
    """
    return text.isascii() and text.isdigit() and len(text) <= MAXIMUM_DIGITS


def describe_problem(problem: AnnouncementProblem) -> FieldProblem:
    """Return a problem as sent in JSON."""
    return FieldProblem(problem.field, problem.found, problem.fix)


def record_refusal(
    timeline: Timeline,
    peer: str,
    problems: tuple[AnnouncementProblem, ...],
) -> None:
    """Record an announcement that was refused."""
    texts = [
        f'{problem.field}: found {problem.found}: {problem.fix}'
        for problem in problems
    ]
    timeline.record(
        Occurrence(
            EventCode.ANNOUNCEMENT_REFUSED,
            peer=peer,
            step=problems[0].refusal,
            detail='; '.join(texts),
        ),
    )
