"""A request's way onto a connection to a target."""

from asyncio import Task, create_task

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from hillfield.clocks import monotonic
from hillfield.proxy.dialects import TargetDialect
from hillfield.proxy.fields import Fields
from hillfield.proxy.orders import Order, list_fields
from hillfield.routing.requests import Send


class Sender:
    """Write one request; `sent` tells that all of it has been handed over."""

    def __init__(
        self,
        order: Order,
        connection: HTTP1Connection,
        dialect: TargetDialect,
        send: Send,
    ) -> None:
        """Prepare; nothing is written yet."""
        self.sent = False
        self.connection = connection
        self._order = order
        self._dialect = dialect
        self._send = send
        self._writer: Task[None] | None = None

    def start(self) -> None:
        """Write the head, and the body as far as it is there."""
        order = self._order
        fields = list_fields(
            order,
            self._dialect,
            self._send,
            order.expires - monotonic(),
        )
        if order.body.streamed:
            self._write_head(fields)
            self._writer = create_task(self._write_body())
            return
        if order.start_line.method == 'HEAD':
            # tornado has to know that the answer has no body.
            self._write_head(fields)
        else:
            self._write_whole(fields)
        self._finish()

    def stop(self) -> None:
        """Write no more."""
        if self._writer is not None:
            self._writer.cancel()

    def _write_head(self, fields: Fields) -> None:
        self.connection.write_headers(
            self._order.start_line,
            fields.to_headers(),
        )

    def _write_whole(self, fields: Fields) -> None:
        line = self._order.start_line
        head = fields.render(f'{line.method} {line.path} HTTP/1.1')
        self.connection.stream.write(head + self._order.body.join())

    async def _write_body(self) -> None:
        body = self._order.body
        part = await body.take()
        while part:
            try:
                await self.connection.write(part)
            except StreamClosedError:
                body.discard()
                return
            part = await body.take()
        if body.whole:
            self._order.holder.pass_body()
            self._finish()

    def _finish(self) -> None:
        self.sent = True
        self.connection.finish()
