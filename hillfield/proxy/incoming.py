"""Answer of a target while it is received."""

from typing import Final

from tornado.httputil import HTTPHeaders, ResponseStartLine

from hillfield.model import AnswerChecks, TargetNotice
from hillfield.proxy.checks import check_body, check_head
from hillfield.proxy.dialects import TargetDialect
from hillfield.routing.requests import Answered, Broken, Observation

_FIRST_FINAL: Final = 200
_CLOSE: Final = 'close'


class IncomingAnswer:
    """Head and buffered body of an answer that is being received.

    `failure` is the observation of a failure answer that does not come from
    the target's own work; `stale`: the answer belongs to an earlier request of
    the connection; `received`: anything has been received in answer; `notice`
    is the target's notice about itself.
    """

    def __init__(
        self,
        checks: AnswerChecks,
        method: str,
        dialect: TargetDialect,
        request: str,
    ) -> None:
        """Start without a head."""
        self.start_line = ResponseStartLine('HTTP/1.1', 0, '')
        self.headers = HTTPHeaders()
        self.held = bytearray()
        self.interim = False
        self.received_any = False
        self.is_forwarded = False
        self.stale = False
        self.failure: Observation | None = None
        self.notice: TargetNotice | None = None
        self._checks = checks
        self._method = method
        self._dialect = dialect
        self._request = request

    def receive_head(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> bool:
        """Receive a head; return whether it is the final one."""
        if start_line.code < _FIRST_FINAL:
            self.received_any = True
            self.interim = not self._dialect.sends_keepalives
            return False
        self.stale = not self._dialect.is_answer_to(self._request, headers)
        if self.stale:
            return False
        self.received_any = True
        self.start_line = start_line
        self.headers = headers
        self._dialect.inspect_headers(headers)
        code = start_line.code
        self.failure = self._dialect.read_failure(code, headers)
        self.notice = self._dialect.read_notice(code, headers)
        return True

    def allows_reuse(self) -> bool:
        """Return whether the connection may carry another request.

        After an unexpected interim answer a second answer might come late.
        """
        if self.interim or self.start_line.version != 'HTTP/1.1':
            return False
        return _CLOSE not in self.headers.get('Connection', '').lower()

    def has_length(self) -> bool:
        """Return whether the length of the body is known from the head."""
        return 'Content-Length' in self.headers

    def can_be_checked(self) -> bool:
        """Return whether enough has arrived for the plan's checks."""
        checks = self._checks
        needed = max(checks.minimum_length, len(checks.required_prefix))
        return len(self.held) >= needed

    def check_answer(self, complete: bool) -> str:
        """Return why the answer fails the plan's checks, or an empty string."""
        has_header = self._checks.required_header in self.headers
        wrong = check_head(
            self._checks,
            self.start_line.code,
            has_header,
        )
        if wrong or self.is_forwarded or self._method == 'HEAD':
            return wrong
        size = len(self.held) if complete else self._find_size()
        return check_body(self._checks, bytes(self.held), size)

    def observe_partial(self) -> Observation | None:
        """Return why an incomplete answer must not be forwarded, or None."""
        if self.failure is not None:
            return self.failure
        wrong = self.check_answer(complete=False)
        if wrong:
            return Answered(self.start_line.code, wrong)
        return None

    def observe_complete(self) -> Observation:
        """Return the observation of a complete answer."""
        if self.failure is not None and not self.is_forwarded:
            return self.failure
        return Answered(
            self.start_line.code,
            self.check_answer(complete=True),
            self.is_forwarded,
        )

    def observe_broken(self, detail: str) -> Observation:
        """Return the observation of an answer that ended early."""
        if self.failure is not None and not self.is_forwarded:
            return self.failure
        return Broken(detail, self.is_forwarded)

    def _find_size(self) -> int | None:
        announced = self.headers.get('Content-Length')
        return None if announced is None else int(announced)
