"""Timeouts of one caller's connection."""

from asyncio import get_running_loop

from hillfield.proxy.context import ProxyContext
from hillfield.proxy.failures import Fault
from hillfield.proxy.ordering import AnswerOrder
from hillfield.proxy.streams import CallerStream, has_closed_writing


class CallerTimeouts:
    """End a connection that timed out; times are in loop seconds."""

    def __init__(
        self,
        stream: CallerStream,
        context: ProxyContext,
        order: AnswerOrder,
    ) -> None:
        """Start before anything was read."""
        self._stream = stream
        self._context = context
        self._order = order
        self._waiting_since = float()
        self._received_before = 0
        self._head_since: float | None = None
        self._writing_since = get_running_loop().time()
        self._written_before = 0

    def expect_head(self) -> None:
        """Start the timeout of the next request's head."""
        self._waiting_since = get_running_loop().time()
        self._head_since = None
        self._received_before = self._stream.received - self._stream.unread

    def is_idle(self) -> bool:
        """Return whether no request is in progress or partly received."""
        if self._stream.writing() or self._order.is_busy():
            return False
        return self._is_reading() and self._awaits_first_byte()

    def sweep(self, now: float) -> None:
        """End the connection if it timed out."""
        if self._stream.writing():
            self._sweep_writing(now)
            return
        self._writing_since = now
        if self._is_reading():
            self._sweep_head(now)
        elif self._order.is_busy() and self._stream.unread:
            if has_closed_writing(self._stream):
                self._stream.abandon()

    def _is_reading(self) -> bool:
        stream = self._stream
        return stream.reading_head and not (stream.lingering or stream.ending)

    def _awaits_first_byte(self) -> bool:
        return self._stream.received == self._received_before

    def _sweep_head(self, now: float) -> None:
        settings = self._context.settings
        if self._awaits_first_byte():
            since = max(self._waiting_since, self._order.idle_since)
            if now - since > settings.idle_timeout and self.is_idle():
                self._stream.close()
        elif self._head_since is None:
            # It may be complete, and be read in the next pass of the loop.
            self._head_since = now
        elif now - self._head_since > settings.head_timeout:
            self._stream.refuse(
                Fault.SLOW_REQUEST.failure('the head was not received in time'),
            )

    def _sweep_writing(self, now: float) -> None:
        """End a connection whose caller stopped reading long ago."""
        stream = self._stream
        if stream.written != self._written_before:
            self._written_before = stream.written
            self._writing_since = now
        elif now - self._writing_since > self._context.settings.idle_timeout:
            stream.reset()
