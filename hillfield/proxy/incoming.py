"""Answer of a target as it comes in."""

from typing import Final

from tornado.httputil import HTTPHeaders, ResponseStartLine

from hillfield.model import AnswerChecks, TargetNotice
from hillfield.proxy.checks import find_wrong_body, find_wrong_head
from hillfield.proxy.dialects import TargetDialect
from hillfield.routing.requests import Answered, Broken, Observation

_FIRST_FINAL: Final = 200
_CLOSE: Final = 'close'


class IncomingAnswer:
    """Hold the head and as much of the body as isn't relayed yet.

    `failure` is what an answer means that no target's work has made, `stray`
    says that it belongs to an earlier request of the connection, `alive` that
    anything at all has come in answer, `notice` is what it says of the target
    that gave it.
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
        self.alive = False
        self.relaying = False
        self.stray = False
        self.failure: Observation | None = None
        self.notice: TargetNotice | None = None
        self._checks = checks
        self._method = method
        self._dialect = dialect
        self._request = request

    def take_head(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> bool:
        """Take in a head; return whether it is the final one."""
        if start_line.code < _FIRST_FINAL:
            self.alive = True
            self.interim = not self._dialect.sends_signs
            return False
        self.stray = not self._dialect.is_answer_to(self._request, headers)
        if self.stray:
            return False
        self.alive = True
        self.start_line = start_line
        self.headers = headers
        self._dialect.note_headers(headers)
        code = start_line.code
        self.failure = self._dialect.read_failure(code, headers)
        self.notice = self._dialect.read_notice(code, headers)
        return True

    def allows_reuse(self) -> bool:
        """Tell whether its connection may carry another request.

        An interim answer leaves a doubt: a second one might come late.
        """
        if self.interim or self.start_line.version != 'HTTP/1.1':
            return False
        return _CLOSE not in self.headers.get('Connection', '').lower()

    def has_length(self) -> bool:
        """Tell whether the length of the body is known from the head."""
        return 'Content-Length' in self.headers

    def is_decidable(self) -> bool:
        """Tell whether enough has come for the plan's checks."""
        checks = self._checks
        needed = max(checks.minimum_length, len(checks.required_prefix))
        return len(self.held) >= needed

    def find_wrong(self, whole: bool) -> str:
        """Return why the answer is wrong by the plan's checks, or nothing."""
        has_header = self._checks.required_header in self.headers
        wrong = find_wrong_head(
            self._checks,
            self.start_line.code,
            has_header,
        )
        if wrong or self.relaying or self._method == 'HEAD':
            return wrong
        size = len(self.held) if whole else self._find_size()
        return find_wrong_body(self._checks, bytes(self.held), size)

    def judge_part(self) -> Observation | None:
        """Say why an answer that isn't whole yet must not be relayed."""
        if self.failure is not None:
            return self.failure
        wrong = self.find_wrong(whole=False)
        if wrong:
            return Answered(self.start_line.code, wrong)
        return None

    def judge_whole(self) -> Observation:
        """Say what a whole answer means."""
        if self.failure is not None and not self.relaying:
            return self.failure
        return Answered(
            self.start_line.code,
            self.find_wrong(whole=True),
            self.relaying,
        )

    def judge_broken(self, detail: str) -> Observation:
        """Say what an answer that ended early means."""
        if self.failure is not None and not self.relaying:
            return self.failure
        return Broken(detail, self.relaying)

    def _find_size(self) -> int | None:
        announced = self.headers.get('Content-Length')
        return None if announced is None else int(announced)
