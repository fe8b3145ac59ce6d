"""Answer to a caller."""

from asyncio import Future
from collections.abc import Callable
from functools import partial
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from hillfield.loadreports import CAPACITY_HEADER
from hillfield.model import RequestFailure
from hillfield.proxy.answers import list_fields, render_body, render_start
from hillfield.proxy.dialects import CallerDialect
from hillfield.proxy.fields import Fields
from hillfield.proxy.heads import ForwardingContext, forward_answer_fields
from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.slots import ResponseSlot
from hillfield.proxy.streams import CallerStream
from hillfield.proxy.writing import AnswerWriter

_LENGTH: Final = 'Content-Length'
_NO_CONTENT: Final = 204
_BODILESS: Final = frozenset((_NO_CONTENT, 304))
_KEEPALIVE: Final = b'HTTP/1.1 102 Processing\r\n\r\n'


class Reply:
    """Answer one request in order, completely or visibly incomplete.

    `begun`: part of the answer has been passed on for writing;
    `chunks`: the caller understands chunked bodies; `received_at`: when the
    head of the request had arrived, in monotonic seconds; `body_limit`: the
    bytes of body that were allowed then.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        stream: CallerStream,
        dialect: CallerDialect,
        slot: ResponseSlot,
    ) -> None:
        """Prepare the answer to the next request."""
        self.connection = connection
        self.slot = slot
        self.writer = AnswerWriter(connection, stream, slot)
        self.begun = False
        self.method = ''
        self.received_at = stream.received_at
        self.chunks = True
        self.body_limit = 0
        self._stream = stream
        self._dialect = dialect

    def adapt(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        draining: bool,
    ) -> None:
        """Set how the answer is written according to the request's head."""
        self.method = start_line.method
        self.received_at = self._stream.received_at
        self.body_limit = self._stream.head_settings.body_limit
        asked = headers.get('Connection', '').lower()
        self.slot.closing = draining or 'close' in asked
        if start_line.version == 'HTTP/1.0':
            # An HTTP/1.0 caller detects the end of an answer of unknown
            # length only by the end of the connection.
            self.slot.closing = True
            self.chunks = False
            headers.pop('Connection', None)

    def fail(self, failure: RequestFailure, request: str) -> None:
        """Send a failure."""
        body = render_body(failure, request)
        fields = list_fields(
            failure,
            request,
            len(body),
            fractional=self._dialect.fractional,
        )
        self._answer(render_start(failure.status), fields, body)

    def send_complete(
        self,
        answer: IncomingAnswer,
        forwarding: ForwardingContext,
    ) -> None:
        """Forward an answer that is complete in memory."""
        fields = forward_answer_fields(answer.headers, forwarding)
        body = bytes(answer.held)
        if self.method == 'HEAD' or answer.start_line.code in _BODILESS:
            _keep_length(fields, answer)
        else:
            fields.add(_LENGTH, str(len(body)))
        self._answer(answer.start_line, fields, body)

    def begin(
        self,
        answer: IncomingAnswer,
        forwarding: ForwardingContext,
    ) -> 'Future[None]':
        """Forward the head and the buffered part; `write_part` follows."""
        fields = forward_answer_fields(answer.headers, forwarding)
        _keep_length(fields, answer)
        part = bytes(answer.held)
        answer.held.clear()
        bodiless = answer.start_line.code in _BODILESS or self.method == 'HEAD'
        framed = bodiless or answer.has_length()
        self.writer.chunked = self.chunks and not framed
        self._begin(fields)
        return self.slot.enqueue(
            partial(self.writer.write_head, answer.start_line, fields, part),
            len(part),
        )

    def send_keepalive(self) -> None:
        """Write an interim answer as a keepalive, unless the answer has begun.

        While earlier answers are pending it would be read as part of theirs.
        """
        if self.slot.is_open and not (self.begun or self._stream.closed()):
            self._stream.write(_KEEPALIVE)

    def watch_close(self, callback: Callable[[], None]) -> None:
        """Call back if the caller closes while its request is still read."""
        self._stream.set_close_callback(callback)

    def write_part(self, part: bytes) -> 'Future[None]':
        """Forward a part; the future applies backpressure."""
        return self.slot.enqueue(
            partial(self.writer.write_part, part),
            len(part),
        )

    def end(self) -> None:
        """End a complete answer."""
        self.slot.write(self.writer.end)

    def abort(self) -> bool:
        """Stop an answer so that the caller can see that it is incomplete.

        Return whether another can be sent: nothing of it was written yet.
        """
        if self.slot.is_open:
            self.writer.abort_connection()
            return False
        self.slot.clear_buffer()
        self.writer.chunked = False
        self.begun = False
        return True

    def _begin(self, fields: Fields) -> None:
        self.begun = True
        capacity = self._dialect.report_capacity()
        if capacity:
            fields.add(CAPACITY_HEADER, capacity)

    def _answer(
        self,
        start_line: ResponseStartLine,
        fields: Fields,
        body: bytes,
    ) -> None:
        self._begin(fields)
        sent = b'' if self.method == 'HEAD' else body
        self.slot.write(
            partial(self.writer.write_complete, start_line, fields, sent),
            len(sent),
        )


def _keep_length(fields: Fields, answer: IncomingAnswer) -> None:
    length = answer.headers.get(_LENGTH)
    if length is not None and answer.start_line.code != _NO_CONTENT:
        fields.add(_LENGTH, length)
