"""Requests that came behind another on their connection, begun before it ends.

This answers callers that send further reads before the first is answered. Run
one after the other the third of them takes three times as long, and its aim is
that of one.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from msgspec import Struct
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    parse_request_start_line,
)

from hillfield.model import RequestFailure
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.held import HeldReply
from hillfield.proxy.orders import has_body
from hillfield.proxy.replies import Reply
from hillfield.proxy.requests import IncomingRequest
from hillfield.proxy.screening import screen_head

# Methods that change nothing, so that their order is free.
SAFE: Final = frozenset(('GET', 'HEAD'))
END_OF_HEAD: Final = b'\r\n\r\n'


class Begun(Struct, frozen=True):
    """Hold a request that has begun, with its head as it came."""

    head: bytes
    request: IncomingRequest
    reply: HeldReply


class LookAhead:
    """Begin safe requests that may run again, in the order they came."""

    def __init__(self, context: ProxyContext) -> None:
        """Start with none."""
        self._context = context
        self._begun: deque[Begun] = deque()
        self._turned: Begun | None = None

    def is_empty(self) -> bool:
        """Tell whether none has begun before its turn."""
        return not self._begun

    def look(self, before: Reply) -> None:
        """Begin what stands next in the bytes that nobody has read yet."""
        stream = before.stream
        limit = self._context.settings.ahead_limit
        while len(self._begun) < limit:
            head, ended, _ = stream.buffered.partition(END_OF_HEAD)
            begun = self._begin(head + ended, before) if ended else None
            if begun is None:
                return
            stream.skip(len(begun.head))
            self._begun.append(begun)

    def take(self) -> Begun | None:
        """Return the request whose turn has come, if it has begun."""
        self._turned = self._begun.popleft() if self._begun else None
        return self._turned

    def drop(self) -> None:
        """Cancel all that has not been answered."""
        if self._turned is not None:
            self._turned.request.on_connection_close()
        while self._begun:
            self._begun.popleft().request.on_connection_close()

    def _begin(self, head: bytes, before: Reply) -> Begun | None:
        settings = self._context.settings
        if len(head) > settings.head_limit or screen_head(head, settings):
            return None
        parsed = _parse(head)
        if parsed is None:
            return None
        line, headers = parsed
        reply = HeldReply(before)
        request = IncomingRequest(self._context, reply)
        request.headers_received(line, headers)
        if not request.may_run_again:
            request.on_connection_close()
            return None
        request.finish()
        return Begun(head, request, reply)


class TurnedRequest(HTTPMessageDelegate):
    """Read once more, in its turn, a request that has begun already."""

    def __init__(
        self,
        begun: Begun,
        reply: Reply,
        context: ProxyContext,
        is_last: Callable[[], bool],
    ) -> None:
        """Write its answer by `reply`; others follow unless it `is_last`."""
        self.reply = reply
        self.may_run_again = True
        self._begun = begun
        self._context = context
        self._is_last = is_last

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Learn how the answer is to be written."""
        if isinstance(start_line, RequestStartLine):
            self.reply.adapt(start_line, headers, self._context.draining)
            # What has begun behind it is answered before the connection ends.
            self.reply.closing = self.reply.closing and self._is_last()

    def finish(self) -> None:
        """Let the answer be written."""
        self.reply.request_read = True
        self.reply.follow_end(self.on_connection_close)
        self._begun.reply.attach(self.reply)

    def on_connection_close(self) -> None:
        """Cancel: the caller has gone."""
        self._begun.request.on_connection_close()

    def refuse(self, failure: RequestFailure) -> RequestFailure | None:
        """Give up the request; return the failure to tell."""
        return self._begun.request.refuse(failure)


def _parse(head: bytes) -> tuple[RequestStartLine, HTTPHeaders] | None:
    """Return the head of a request without a body that changes nothing."""
    text = head.decode('latin1').lstrip('\r\n')
    first, _, rest = text.partition('\r\n')
    try:
        parsed = parse_request_start_line(first), HTTPHeaders.parse(rest)
    except HTTPInputError:
        return None
    line, headers = parsed
    plain = not has_body(headers) and 'Expect' not in headers
    keeps = 'close' not in headers.get('Connection', '').lower()
    return parsed if line.method in SAFE and plain and keeps else None
