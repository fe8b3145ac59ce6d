"""Writing a request to a connection, at once or in two steps.

A connection to another node stays open when its host is cut off, stalls or
loses power. Whether a request written to it runs is unknown: work that must run
once can't be sent elsewhere then, and other work only as a retry, of which few
are allowed. On a connection that has not answered recently, a request is
therefore written without its end, and the rest only once the other node has
asked for it. Until then it certainly has not run, and sending it elsewhere is
no retry.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from contextlib import suppress

from tornado.iostream import StreamClosedError

from hillfield.clocks import monotonic
from hillfield.proxy.keepalives import ErrorHandler, schedule_keepalive_check
from hillfield.proxy.plannedrequests import PlannedRequest
from hillfield.proxy.resources import AttemptResources
from hillfield.proxy.sending import Sender
from hillfield.proxy.settings import ProxySettings
from hillfield.proxy.streams import NoDelayStream
from hillfield.proxy.targetconnections import AnswerReceiver, open_connection
from hillfield.routing.classification import classify_observation
from hillfield.routing.requests import (
    Broken,
    NothingWritten,
    Observation,
    Send,
    TimedOut,
)
from hillfield.timers import ScheduledCall


class Handover(AnswerReceiver):
    """Writer of one request to one connection.

    `written_at` is when the request may first have run (None: it certainly
    has not).
    """

    owner: ErrorHandler

    def __init__(
        self,
        send: Send,
        planned: PlannedRequest,
        resources: AttemptResources,
    ) -> None:
        """Initialize; nothing is written yet."""
        self.send = send
        self.written_at: float | None = None
        self.ended = False
        self._planned = planned
        self._resources = resources
        self._stream: NoDelayStream | None = None
        self._sender: Sender | None = None
        self._keepalive_check: ScheduledCall | None = None

    def write_to(self, stream: NoDelayStream) -> None:
        """Write the request, or only its head on an unproven connection."""
        if stream.closed():
            self.end(NothingWritten('connection closed before use'))
            return
        settings = self._resources.settings
        planned = self._planned
        request = planned.forwarding.request
        stream.carried.add(monotonic(), request, planned.expires)
        self._stream = stream
        self._sender = Sender(
            self._planned,
            open_connection(stream, settings),
            settings.targets,
            self.send,
        )
        if is_unproven(stream, self._planned, settings):
            self._write(self._sender.write_head_only)
        else:
            self._note_written()
            self._write(self._sender.start)
        self._keepalive_check = schedule_keepalive_check(
            self,
            self._resources,
            self._planned,
        )

    def send_rest(self) -> None:
        """Write the rest of a request after the other end asked for it."""
        waiting = self.written_at is None and not self.ended
        if self._stream is None or self._sender is None or not waiting:
            return
        if self._stream.closed():
            self.end(NothingWritten('connection closed before use'))
            return
        self._note_written()
        self._write(self._sender.write_rest)

    def end(self, observation: Observation) -> None:
        """Report the first end of the attempt to the owner."""

    def abort(self) -> None:
        """End the attempt by closing its connection to the target."""
        self.ended = True
        self.cancel_keepalive_check()
        if self._stream is not None:
            self._stream.close()

    def cancel_keepalive_check(self) -> None:
        """Cancel the check for a keepalive."""
        if self._keepalive_check is not None:
            self._keepalive_check.cancel()

    def correct_observation(self, observation: Observation) -> Observation:
        """Map an end before the full request was written to NothingWritten."""
        uncertain = isinstance(observation, (Broken, TimedOut))
        if self.written_at is None and uncertain:
            return NothingWritten(classify_observation(observation).detail)
        return observation

    def _note_written(self) -> None:
        self.written_at = monotonic()
        dispatching = self._resources.dispatching
        dispatching.record_written(self.written_at, self.send.attempt)

    def _write(self, action: Callable[[], None]) -> None:
        with suppress(StreamClosedError):
            # The reader of the answer reports the closed connection.
            action()


def is_unproven(
    stream: NoDelayStream,
    planned: PlannedRequest,
    settings: ProxySettings,
) -> bool:
    """Return whether a request should be written in two steps."""
    after = settings.two_step_after
    if after is None:
        return False
    if planned.start_line.method == 'HEAD':
        # Written by tornado itself, so that it expects no body in the answer.
        return False
    return get_running_loop().time() - stream.proven_at >= after
