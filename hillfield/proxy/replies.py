"""Answer on its way to a caller."""

from asyncio import Future
from collections.abc import Callable
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from hillfield.loadreports import ROOM
from hillfield.model import RequestFailure
from hillfield.proxy.answers import list_fields, render_body, render_start
from hillfield.proxy.dialects import CallerDialect
from hillfield.proxy.fields import Fields, render_status
from hillfield.proxy.heads import Passage, pass_answer
from hillfield.proxy.incoming import IncomingAnswer
from hillfield.proxy.streams import CallerStream

_LENGTH: Final = 'Content-Length'
_NO_CONTENT: Final = 204
_BODILESS: Final = frozenset((_NO_CONTENT, 304))
_LAST_CHUNK: Final = b'0\r\n\r\n'
_SIGN: Final = b'HTTP/1.1 102 Processing\r\n\r\n'


class Reply:
    """Write one answer, whole or visibly not whole.

    `closing` ends the connection after the answer, `request_read` tells
    that the request has been read to its end, `chunks` that the caller
    understands chunked bodies.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        stream: CallerStream,
        dialect: CallerDialect,
    ) -> None:
        """Prepare the answer to the request that comes next."""
        self.connection = connection
        self.begun = False
        self.closing = False
        self.request_read = False
        self.method = ''
        self.chunks = True
        self._stream = stream
        self._dialect = dialect
        self._chunked = False

    def adapt(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        draining: bool,
    ) -> None:
        """Learn from a request's head how its answer is to be written."""
        self.method = start_line.method
        asked = headers.get('Connection', '').lower()
        self.closing = draining or 'close' in asked
        if start_line.version == 'HTTP/1.0':
            # Only the connection's end tells an old caller where an answer
            # of unknown length ends.
            self.closing = True
            self.chunks = False
            headers.pop('Connection', None)

    def fail(self, failure: RequestFailure, request: str) -> None:
        """Answer with a failure."""
        body = render_body(failure, request)
        fields = list_fields(
            failure,
            request,
            len(body),
            fractional=self._dialect.fractional,
        )
        self._write_whole(render_start(failure.status), fields, body)

    def send_whole(self, answer: IncomingAnswer, passage: Passage) -> None:
        """Relay an answer that is held whole."""
        fields = pass_answer(answer.headers, passage)
        body = bytes(answer.held)
        if self.method == 'HEAD' or answer.start_line.code in _BODILESS:
            _keep_length(fields, answer)
        else:
            fields.add(_LENGTH, str(len(body)))
        self._write_whole(answer.start_line, fields, body)

    def begin(
        self,
        answer: IncomingAnswer,
        passage: Passage,
    ) -> 'Future[None]':
        """Relay the head and what is held; `write_part` follows."""
        fields = pass_answer(answer.headers, passage)
        _keep_length(fields, answer)
        part = bytes(answer.held)
        answer.held.clear()
        bodiless = answer.start_line.code in _BODILESS or self.method == 'HEAD'
        framed = bodiless or answer.has_length()
        self._chunked = self.chunks and not framed
        self._begin(fields)
        return self.connection.write_headers(
            answer.start_line,
            fields.to_headers(),
            part,
        )

    def send_sign(self) -> None:
        """Write an interim answer, unless the answer has begun."""
        if not (self.begun or self._stream.closed()):
            self._stream.write(_SIGN)

    def watch(self, callback: Callable[[], None]) -> None:
        """Learn of the caller's end while its request is still read."""
        self._stream.set_close_callback(callback)

    def write_part(self, part: bytes) -> 'Future[None]':
        """Relay a part; the future bounds what is buffered."""
        return self.connection.write(part)

    def end(self) -> None:
        """End a whole answer."""
        if self.request_read and not self.closing:
            self.connection.finish()
            return
        # The connection ends here; an unread rest of the request must not
        # reset it before the caller has the answer.
        if not self._stream.closed():
            last = _LAST_CHUNK if self._chunked else b''
            self._stream.linger(self._stream.write(last))

    def abort(self) -> None:
        """End the connection so that the answer doesn't look whole."""
        self._stream.reset()

    def _begin(self, fields: Fields) -> None:
        self.begun = True
        room = self._dialect.tell_room()
        if room:
            fields.add(ROOM, room)
        if self.closing or not self.request_read:
            fields.add('Connection', 'close')

    def _write_whole(
        self,
        start_line: ResponseStartLine,
        fields: Fields,
        body: bytes,
    ) -> None:
        self._begin(fields)
        if self._stream.closed():
            return
        head = fields.render(render_status(start_line))
        self._stream.write(head if self.method == 'HEAD' else head + body)
        self.end()


def _keep_length(fields: Fields, answer: IncomingAnswer) -> None:
    length = answer.headers.get(_LENGTH)
    if length is not None and answer.start_line.code != _NO_CONTENT:
        fields.add(_LENGTH, length)
