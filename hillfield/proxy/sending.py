"""Writing of one request to a connection to a target."""

from asyncio import Task, create_task
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from hillfield.clocks import monotonic
from hillfield.proxy.dialects import TargetDialect
from hillfield.proxy.fields import Fields
from hillfield.proxy.plannedrequests import PlannedRequest, list_fields
from hillfield.routing.requests import Send

_LAST_CHUNK: Final = b'0\r\n\r\n'


class Sender:
    """Writer of one request; `sent`: all of it has been written.

    It is written by `start`, or by `write_head_only` and `write_rest`: first
    the head, framed so that the request is incomplete without the rest, which
    the other end asks for. Until then it can't have been forwarded.
    """

    def __init__(
        self,
        planned: PlannedRequest,
        connection: HTTP1Connection,
        dialect: TargetDialect,
        send: Send,
    ) -> None:
        """Initialize; nothing is written yet."""
        self.sent = False
        self.connection = connection
        self._planned = planned
        self._dialect = dialect
        self._send = send
        self._writer: Task[None] | None = None

    def start(self) -> None:
        """Write the head, and as much of the body as has arrived."""
        planned = self._planned
        fields = self._list_fields()
        if planned.body.streamed:
            self._write_head(fields)
            self._writer = create_task(self._write_body())
            return
        if planned.start_line.method == 'HEAD':
            # Written by tornado, so that it expects no body in the answer.
            self._write_head(fields)
        else:
            head = self._render(fields)
            self.connection.stream.write(head + planned.body.join())
        self._finish()

    def write_head_only(self) -> None:
        """Write a head that asks whether the rest may follow."""
        body = self._planned.body
        fields = self._list_fields()
        fields.add('Expect', '100-continue')
        if body.streamed:
            self._write_head(fields)
            return
        if not body.size:
            # A request without a body would be complete with its head.
            fields.drop('Content-Length')
            fields.add('Transfer-Encoding', 'chunked')
        self.connection.stream.write(self._render(fields))

    def write_rest(self) -> None:
        """Write the rest; from now on the request may run."""
        body = self._planned.body
        if body.streamed:
            self._writer = create_task(self._write_body())
            return
        rest = body.join() if body.size else _LAST_CHUNK
        self.connection.stream.write(rest)
        self._finish()

    def stop(self) -> None:
        """Stop writing."""
        if self._writer is not None:
            self._writer.cancel()

    def _list_fields(self) -> Fields:
        planned = self._planned
        return list_fields(
            planned,
            self._dialect,
            self._send,
            planned.expires - monotonic(),
        )

    def _render(self, fields: Fields) -> bytes:
        line = self._planned.start_line
        return fields.render(f'{line.method} {line.path} HTTP/1.1')

    def _write_head(self, fields: Fields) -> None:
        self.connection.write_headers(
            self._planned.start_line,
            fields.to_headers(),
        )

    async def _write_body(self) -> None:
        body = self._planned.body
        part = await body.next_part()
        while part:
            try:
                await self.connection.write(part)
            except StreamClosedError:
                body.discard()
                return
            part = await body.next_part()
        if body.complete:
            self._planned.holder.record_body_sent()
            self._finish()

    def _finish(self) -> None:
        self.sent = True
        self.connection.finish()
