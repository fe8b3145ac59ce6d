"""Connection of a caller: one request after another."""

import socket
from asyncio import get_running_loop, sleep
from typing import Final

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from hillfield.model import RequestFailure
from hillfield.proxy.answers import render_whole
from hillfield.proxy.context import ProxyContext
from hillfield.proxy.failures import Fault, describe_stray
from hillfield.proxy.replies import Reply
from hillfield.proxy.requests import IncomingRequest
from hillfield.proxy.streams import CallerStream

_LARGEST_BODY: Final = 1_000_000_000_000


class CallerConnection:
    """Serve the requests of one connection in their order."""

    def __init__(self, link: socket.socket, context: ProxyContext) -> None:
        """Take over an accepted socket."""
        self.stream = CallerStream(link, context.settings, self)
        self._context = context
        self._tuning = HTTP1ConnectionParameters(
            chunk_size=context.settings.part_size,
            max_header_size=context.settings.head_limit,
            max_body_size=_LARGEST_BODY,
        )
        self._incoming: IncomingRequest | None = None
        self._waiting_since = float()
        self._received_before = 0
        self._head_since: float | None = None
        self._writing_since = get_running_loop().time()
        self._written_before = 0

    async def serve(self) -> None:
        """Serve until either side ends the connection."""
        try:
            await self._serve()
        except (StreamClosedError, UnsatisfiableReadError):
            await self.stream.drain()
        except Exception as error:
            self._context.record_failure(describe_stray(error))
        finally:
            self.stream.abandon()

    async def refuse_connection(self) -> None:
        """Answer without reading: the node has its limit of connections."""
        limit = self._context.settings.connection_limit
        self.stream.refuse(
            Fault.CONNECTIONS.failure(
                f'{limit} connections are open',
                retry_after=1,
            ),
        )
        await self.stream.drain()

    def refuse(self, failure: RequestFailure) -> bytes:
        """Return the answer to a malformed message."""
        told: RequestFailure | None = failure
        if self._incoming is not None:
            told = self._incoming.refuse(failure)
        self._context.record_failure(failure)
        return b'' if told is None else render_whole(told)

    def close_after_answer(self) -> None:
        """Let the present request be the last one."""
        if self._incoming is not None:
            self._incoming.reply.closing = True

    def is_idle(self) -> bool:
        """Tell whether no byte of a next request has come."""
        stream = self.stream
        waiting = stream.reading_head and not stream.lingering
        if stream.writing():
            return False
        return waiting and stream.received == self._received_before

    def sweep(self, now: float) -> None:
        """End the connection if a head is late; `now` is loop seconds."""
        stream = self.stream
        settings = self._context.settings
        if stream.writing():
            self._sweep_writing(now)
            return
        self._writing_since = now
        if not stream.reading_head or stream.lingering:
            return
        if self.is_idle():
            if now - self._waiting_since > settings.idle_timeout:
                stream.close()
        elif self._head_since is None:
            # It may be whole already, and be read in the next turn.
            self._head_since = now
        elif now - self._head_since > settings.head_timeout:
            stream.refuse(Fault.SLOW_REQUEST.failure('the head did not come'))

    def _sweep_writing(self, now: float) -> None:
        """End a connection whose caller has long stopped reading."""
        stream = self.stream
        if stream.written != self._written_before:
            self._written_before = stream.written
            self._writing_since = now
        elif now - self._writing_since > self._context.settings.idle_timeout:
            stream.reset()

    async def _serve(self) -> None:
        serving = True
        while serving:
            if self.stream.writing():
                # Pipelined requests must not pile up answers.
                await self.stream.write(b'')
            elif self.stream.unread:
                await sleep(0)
            connection = HTTP1Connection(
                self.stream,
                is_client=False,
                params=self._tuning,
            )
            dialect = self._context.settings.callers
            reply = Reply(connection, self.stream, dialect)
            self._incoming = IncomingRequest(self._context, reply)
            self._waiting_since = get_running_loop().time()
            self._head_since = None
            self._received_before = self.stream.received - self.stream.unread
            serving = await connection.read_response(self._incoming)
        await self.stream.drain()
