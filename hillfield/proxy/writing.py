"""Bytes of one answer, written when it is its turn."""

from asyncio import Future
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import ResponseStartLine

from hillfield.holding import Holder
from hillfield.proxy.fields import Fields, render_status
from hillfield.proxy.streams import CallerStream
from hillfield.proxy.turns import Turn

_LAST_CHUNK: Final = b'0\r\n\r\n'


class AnswerWriter:
    """Write one answer, and end its connection if it is the last.

    `request_read` tells that the request has been read to its end, `chunked`
    that the answer goes out in chunks, `early` that the request runs beside
    others of its connection, so that tornado's part in it has ended, `holder`
    counts what is held for it.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        stream: CallerStream,
        turn: Turn,
    ) -> None:
        """Prepare; nothing is written yet."""
        self.connection = connection
        self.request_read = False
        self.chunked = False
        self.early = False
        self.holder: Holder | None = None
        self._stream = stream
        self._turn = turn

    def note_read(self) -> None:
        """Note the request's end; the next may be read now if it is early."""
        self.request_read = True
        if self.early:
            self.connection.finish()

    def write_whole(
        self,
        start_line: ResponseStartLine,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Write an answer that is held whole."""
        self._add_close(fields)
        if self._stream.closed():
            return
        self._stream.write(fields.render(render_status(start_line)) + body)
        self.end()

    def write_head(
        self,
        start_line: ResponseStartLine,
        fields: Fields,
        part: bytes,
    ) -> 'Future[None]':
        """Begin an answer of which more follows."""
        self._add_close(fields)
        head = fields.to_headers()
        return self._follow(
            self.connection.write_headers(start_line, head, part),
            len(part),
        )

    def write_part(self, part: bytes) -> 'Future[None]':
        """Write a part of an answer that has begun."""
        return self._follow(self.connection.write(part), len(part))

    def end(self) -> None:
        """End a whole answer, and let the next one out."""
        if self._is_last():
            self._end_connection()
        elif not self.early:
            self.connection.finish()
        elif self.chunked and not self._stream.closed():
            self._stream.write(_LAST_CHUNK)
        self._release()
        self._turn.end()

    def cut(self) -> None:
        """End the connection within the answer.

        A reset would also take back what the caller has not read yet of the
        answers before; the end of a connection shows as well that an answer
        with a length, or in chunks, is not whole.
        """
        if not self.early:
            self._stream.reset()
        elif not self._stream.closed():
            self._stream.linger(self._stream.write(b''))
        self._turn.end_all()

    def _follow(self, written: 'Future[None]', size: int) -> 'Future[None]':
        """Count what has gone out as held no more."""
        if self.holder is not None:
            drop = self.holder.drop_answer
            written.add_done_callback(lambda _: drop(size))
        return written

    def _release(self) -> None:
        """Count nothing as held once all has gone out, or never will."""
        if self.holder is None:
            return
        if self._stream.closed() or not self._stream.writing():
            self.holder.release()
            return
        release = self.holder.release
        self._stream.write(b'').add_done_callback(lambda _: release())

    def _end_connection(self) -> None:
        """End it without a reset by an unread rest of the request.

        That could take the answer back before the caller has it.
        """
        if not self._stream.closed():
            last = _LAST_CHUNK if self.chunked else b''
            self._stream.linger(self._stream.write(last))

    def _is_last(self) -> bool:
        return self._turn.closing or not self.request_read

    def _add_close(self, fields: Fields) -> None:
        if self._is_last():
            fields.add('Connection', 'close')
