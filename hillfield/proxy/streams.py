"""Tornado streams for the sockets of callers and targets."""

import socket
import struct
from asyncio import Future, get_running_loop
from select import POLLRDHUP, poll
from typing import Any, Final, Protocol

from msgspec.structs import replace
from tornado.iostream import (
    IOStream,
    StreamClosedError,
    UnsatisfiableReadError,
)

from hillfield.clocks import monotonic
from hillfield.model import RequestFailure
from hillfield.proxy.failures import Fault
from hillfield.proxy.intake import Intake
from hillfield.proxy.screening import screen_head
from hillfield.proxy.settings import ProxySettings

# What tornado's HTTP1Connection writes by itself when the framing of a body is
# wrong; callers get our failure answer instead.
_TORNADO_REFUSAL: Final = b'HTTP/1.1 400 Bad Request\r\n\r\n'
_RESET_AT_CLOSE: Final = struct.pack('ii', 1, 0)
_BUFFERS: Final = 4


class CarriedIds:
    """Remember ids until their requests expire.

    A target's answer names its request by the id alone, and a second copy of
    an answer may come at any time on the same connection. Only an id that was
    written once to a connection identifies an answer there. A request is sent
    again, under the same id, until it expires at most.

    >>> carried = CarriedIds()
    >>> carried.add(10.0, 'a', expires=12.0)
    >>> carried.holds(11.0, 'a'), carried.holds(11.0, 'b')
    (True, False)
    >>> carried.add(13.0, 'b', expires=15.0)
    >>> carried.holds(13.0, 'a'), len(carried)
    (False, 1)
    """

    def __init__(self) -> None:
        """Start without ids."""
        self._expiries: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many ids are remembered."""
        return len(self._expiries)

    def add(self, now: float, request: str, expires: float) -> None:
        """Remember an id; times are in monotonic seconds."""
        self._drop_expired(now)
        self._expiries[request] = expires

    def holds(self, now: float, request: str) -> bool:
        """Return whether the connection has carried an id that may return."""
        return self._expiries.get(request, float('-inf')) >= now

    def _drop_expired(self, now: float) -> None:
        """Drop the oldest ids, up to the first whose request may return."""
        while self._expiries:
            oldest = next(iter(self._expiries))
            if self._expiries[oldest] >= now:
                return
            self._expiries.pop(oldest)


class NoDelayStream(IOStream):
    """Stream that always sends small segments immediately.

    Tornado's connections toggle TCP_NODELAY for each message, which would
    cost four system calls per request.
    """

    def __init__(self, sock: socket.socket, settings: ProxySettings) -> None:
        """Start with a connected or unconnected socket."""
        super().__init__(
            sock,
            max_buffer_size=_compute_buffer(settings),
            read_chunk_size=settings.part_size,
        )
        self.settings = settings
        # Loop seconds at which its last exchange ended without an error.
        self.proven_at = float('-inf')
        self.carried = CarriedIds()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_nodelay(self, value: bool) -> None:  # noqa: WPS110 tornado's name
        """Ignore the call: the option stays set."""

    @property
    def unread(self) -> int:
        """Return how many received bytes have not been read."""
        return self._read_buffer_size

    def reset(self) -> None:
        """Close with a reset, which shows the message to be incomplete."""
        if not self.closed():
            self.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_AT_CLOSE,
            )
        self.close()


class RefusalOwner(Protocol):
    """Owner of the requests of one caller's connection."""

    def refuse(self, failure: RequestFailure) -> bytes:
        """Return the answer to write, or nothing if one has begun."""

    def defer(self, answer: bytes) -> bool:
        """Queue a refusal behind earlier answers; return whether it was."""


class CallerStream(NoDelayStream):
    """Check heads before tornado parses them, and end with a refusal safely.

    Closing a socket with unread bytes resets the connection, and the caller
    may lose the answer, so after a refusal the stream reads on for `linger`
    seconds. `ending`: no further request is served; `received_at`: when
    the last head had arrived, in monotonic seconds.

    A connection outlives changes of the limits: `adopt` applies them to the
    next head, also while it is awaited. `head_settings` hold for the request
    whose head is read or was read last.
    """

    def __init__(
        self,
        sock: socket.socket,
        settings: ProxySettings,
        owner: RefusalOwner,
        intake: Intake,
    ) -> None:
        """Start with an accepted socket."""
        super().__init__(sock, settings)
        self.received_at = monotonic()
        self.received = 0
        self.written = 0
        self.reading_head = False
        self.lingering = False
        self.ending = False
        self.head_settings = settings
        self._owner = owner
        self._intake = intake
        self._ended = False

    async def read_until_regex(
        self,
        regex: bytes,
        max_bytes: int | None = None,
    ) -> bytes:
        """Return a head that has passed the strict check.

        The limit is that of the settings in force, not `max_bytes`.
        """
        self.reading_head = True
        self.head_settings = self.settings
        head = await super().read_until_regex(regex, self.settings.head_limit)
        self.reading_head = False
        self.received_at = monotonic()
        await self._intake.enter()
        if self.lingering or self.ending or self.closed():
            # No answer could follow, so a request that has arrived already must
            # not run; its caller will repeat it.
            raise StreamClosedError
        failure = screen_head(head, self.head_settings)
        if failure is None:
            return head
        self.refuse(failure)
        raise StreamClosedError

    def adopt(self, settings: ProxySettings) -> None:
        """Apply changed limits; those of a head that has begun only grow."""
        self.settings = settings
        self.max_buffer_size = max(
            self.max_buffer_size,
            _compute_buffer(settings),
        )
        if self.reading_head:
            if self.unread:
                settings = _widen(settings, self.head_settings)
            self.head_settings = settings
            # Tornado has noted the limit when the read began.
            self._read_max_bytes = settings.head_limit

    def write(self, chunk: bytes | memoryview) -> 'Future[None]':
        """Write, replacing tornado's refusal by our own."""
        if chunk == _TORNADO_REFUSAL:
            flushed = self.refuse(
                Fault.MALFORMED.failure('the framing of the body is wrong'),
            )
            if self.ending:
                raise StreamClosedError
            return flushed
        return super().write(chunk)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Count received bytes."""
        count = super().read_from_fd(buf)
        if count:
            self.received += count
        self._ended = count == 0
        return count

    def write_to_fd(self, data: memoryview) -> int:  # noqa: WPS110 tornado's
        """Count written bytes."""
        count = super().write_to_fd(data)
        self.written += count
        return count

    def close(self, exc_info: Any = False) -> None:  # tornado's own type
        """Close; after a refusal only once the caller has closed."""
        too_long = isinstance(exc_info, UnsatisfiableReadError)
        settled = self.lingering or self.ending
        if too_long and self.reading_head and not settled:
            limit = self.head_settings.head_limit
            self.refuse(
                Fault.HEAD_TOO_LARGE.failure(f'over {limit} bytes of head'),
            )
        if (self.lingering or self.ending) and not self._ended:
            if too_long or not exc_info:
                return
        super().close(exc_info)

    def reset(self) -> None:
        """Reset now, so that the caller sees an incomplete answer."""
        self.lingering = False
        self.ending = False
        super().reset()

    def refuse(self, failure: RequestFailure) -> 'Future[None]':
        """Send a failure and end the connection."""
        answer = self._owner.refuse(failure)
        if answer and self._owner.defer(answer):
            self.ending = True
            return get_running_loop().create_future()
        if answer:
            flushed = self.write(answer)
            self.linger(flushed)
            return flushed
        self.reset()
        return get_running_loop().create_future()

    def linger(self, flushed: 'Future[None]') -> None:
        """End the connection once the last bytes have been written."""
        if self.lingering or self.closed():
            return
        self.lingering = True
        flushed.add_done_callback(self._shut)

    def abandon(self) -> None:
        """Close without lingering."""
        self.lingering = False
        self.ending = False
        self.close()

    def _shut(self, flushed: 'Future[None]') -> None:
        if flushed.cancelled() or flushed.exception() or self.closed():
            return
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.abandon()
            return
        get_running_loop().call_later(self.settings.linger, self.abandon)


async def discard_rest(stream: NoDelayStream) -> None:
    """Read and discard until the connection has ended."""
    while not stream.closed():
        try:
            await stream.read_bytes(stream.settings.part_size, partial=True)
        except StreamClosedError:
            return


def _compute_buffer(settings: ProxySettings) -> int:
    """Return how many received bytes a stream holds at most."""
    return _BUFFERS * max(
        settings.part_size,
        settings.head_limit,
        settings.answer_head_limit,
    )


def _widen(settings: ProxySettings, earlier: ProxySettings) -> ProxySettings:
    """Return settings that allow a request whatever either allows."""
    return replace(
        settings,
        head_limit=max(settings.head_limit, earlier.head_limit),
        body_limit=max(settings.body_limit, earlier.body_limit),
    )


def has_closed_writing(stream: IOStream) -> bool:
    """Return whether the caller has closed its side of the connection.

    Tornado detects that only once it has read all bytes before it.
    """
    if stream.closed():
        return True
    watcher = poll()
    watcher.register(stream.socket, POLLRDHUP)
    return bool(watcher.poll(0))
