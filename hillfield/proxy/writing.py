"""Writing of one answer once its slot is open."""

from asyncio import Future
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import ResponseStartLine

from hillfield.holding import ByteReservation
from hillfield.proxy.fields import Fields, render_status
from hillfield.proxy.slots import ResponseSlot
from hillfield.proxy.streams import CallerStream

_LAST_CHUNK: Final = b'0\r\n\r\n'


class AnswerWriter:
    """Write one answer, and end its connection if it is the last.

    `request_read`: the request has been read to its end; `chunked`: the answer
    is sent in chunks; `concurrent`: the request runs concurrently with others
    of its connection, so tornado's handling of it has ended; `holder` counts
    the bytes held in memory for it.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        stream: CallerStream,
        slot: ResponseSlot,
    ) -> None:
        """Initialize; nothing is written yet."""
        self.connection = connection
        self.request_read = False
        self.chunked = False
        self.concurrent = False
        self.holder: ByteReservation | None = None
        self._stream = stream
        self._slot = slot

    def record_request_end(self) -> None:
        """Record the request's end; if concurrent, the next may be read now."""
        self.request_read = True
        if self.concurrent:
            self.connection.finish()

    def write_complete(
        self,
        start_line: ResponseStartLine,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Write an answer that is complete in memory."""
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
        """Write the head and first part of an answer."""
        self._add_close(fields)
        head = fields.to_headers()
        return self._release_after(
            self.connection.write_headers(start_line, head, part),
            len(part),
        )

    def write_part(self, part: bytes) -> 'Future[None]':
        """Write a part of an answer that has begun."""
        return self._release_after(self.connection.write(part), len(part))

    def end(self) -> None:
        """End a complete answer, and open the slot of the next one."""
        if self._is_last():
            self._end_connection()
        elif not self.concurrent:
            self.connection.finish()
        elif self.chunked and not self._stream.closed():
            self._stream.write(_LAST_CHUNK)
        self._release()
        self._slot.end()

    def abort_connection(self) -> None:
        """End the connection within the answer.

        A reset could also discard earlier answers that the caller has not read
        yet. The end of a connection also shows that an answer with a length, or
        in chunks, is incomplete.
        """
        if not self.concurrent:
            self._stream.reset()
        elif not self._stream.closed():
            self._stream.linger(self._stream.write(b''))
        self._slot.cancel_following()

    def _release_after(
        self,
        written: 'Future[None]',
        size: int,
    ) -> 'Future[None]':
        """Release the bytes of a part once it has been written."""
        if self.holder is not None:
            drop = self.holder.release_answer
            written.add_done_callback(lambda _: drop(size))
        return written

    def _release(self) -> None:
        """Release all held bytes once they are written, or never will be."""
        if self.holder is None:
            return
        if self._stream.closed() or not self._stream.writing():
            self.holder.release()
            return
        release = self.holder.release
        self._stream.write(b'').add_done_callback(lambda _: release())

    def _end_connection(self) -> None:
        """End the connection without a reset due to unread request bytes.

        A reset could discard the answer before the caller has read it.
        """
        if not self._stream.closed():
            last = _LAST_CHUNK if self.chunked else b''
            self._stream.linger(self._stream.write(last))

    def _is_last(self) -> bool:
        return self._slot.closing or not self.request_read

    def _add_close(self, fields: Fields) -> None:
        if self._is_last():
            fields.add('Connection', 'close')
