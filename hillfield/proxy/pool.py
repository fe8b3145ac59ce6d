"""Pool of connections to targets, each used by one request at a time."""

import socket
from asyncio import get_running_loop, wait
from collections import deque
from typing import Final

from expression import Error, Ok, Result
from msgspec import Struct
from tornado.iostream import StreamClosedError

from hillfield.clocks import monotonic
from hillfield.model import Address, TargetId
from hillfield.proxy.settings import ProxySettings
from hillfield.proxy.streams import NoDelayStream
from hillfield.timers import wait_for_pending_reads

# Seconds before the end of a target's keep-alive timeout in which an idle
# connection is not reused: a request that crosses the close may have run, and
# counts against the target.
CLOSE_MARGIN: Final = 0.1


class IdleConnection(Struct, frozen=True):
    """Idle connection, usable until `until` in loop seconds."""

    stream: NoDelayStream
    until: float


class Pool:
    """Idle connections per target.

    The dispatcher's slots bound how many are open at once: a request takes
    a connection only after the decision to send it.
    """

    def __init__(self, settings: ProxySettings) -> None:
        """Start without connections."""
        self._settings = settings
        self._idle: dict[TargetId, deque[IdleConnection]] = {}
        self._retired: dict[TargetId, float] = {}

    def release(
        self,
        target: TargetId,
        stream: NoDelayStream,
        keep_alive: float | None = None,
    ) -> None:
        """Keep a connection whose exchange ended without an error, or close it.

        `keep_alive` is the other end's idle timeout in seconds, if announced.
        """
        connections = self._idle.setdefault(target, deque())
        full = len(connections) >= self._settings.pool_idle_limit
        if full or target in self._retired or stream.unread:
            stream.close()
            return
        if stream.closed():
            return
        stream.proven_at = get_running_loop().time()
        connections.append(
            IdleConnection(
                stream,
                stream.proven_at + self._limit_idle_time(keep_alive),
            ),
        )

    def retire(self, target: TargetId) -> None:
        """Close a leaving target's idle connections; leave those in use."""
        self._retired[target] = get_running_loop().time()
        for idle in self._idle.pop(target, ()):
            idle.stream.close()

    def drop(self, target: TargetId) -> None:
        """Close a target's idle connections; new ones may be opened."""
        for idle in self._idle.pop(target, ()):
            idle.stream.close()

    def sweep(self, now: float) -> None:
        """Close connections idle for too long; `now` is in loop seconds."""
        for target, connections in tuple(self._idle.items()):
            while connections and connections[0].until < now:
                connections.popleft().stream.close()
            if not connections:
                self._idle.pop(target)
        for target, since in tuple(self._retired.items()):
            if since < now - self._settings.drain_timeout:
                self._retired.pop(target)

    def close(self) -> None:
        """Close all idle connections."""
        for target in tuple(self._idle):
            self.retire(target)

    def reuse(
        self,
        target: TargetId,
        request: str = '',
    ) -> NoDelayStream | None:
        """Return an idle connection that is open and clean, if there is one.

        It has not carried this request before: a second copy of the earlier
        answer could not be told from the answer to this attempt.
        """
        self._retired.pop(target, None)
        connections = self._idle.get(target, deque())
        passed_over: list[IdleConnection] = []
        found: NoDelayStream | None = None
        while connections and found is None:
            idle = connections.pop()
            if not _is_usable(idle):
                idle.stream.close()
                continue
            if idle.stream.carried.holds(monotonic(), request):
                passed_over.append(idle)
            else:
                found = idle.stream
        connections.extend(reversed(passed_over))
        return found

    async def connect(self, address: Address) -> Result[NoDelayStream, str]:
        """Open a connection; the error says why it failed.

        Where targets are reached through the nodes beside them, the connection
        leads to the node on the address's host.
        """
        try:
            return Ok(await self._open(address))
        except TimeoutError:
            return Error('connect timed out')
        except StreamClosedError as error:
            return Error(f'connect failed: {error.real_error}')

    async def is_refused(self, target: TargetId) -> bool:
        """Return whether connections to the target's address are refused.

        An idle connection that is still open shows that they are not; one that
        had to be opened is kept for the next request.
        """
        stream = self.reuse(target)
        if stream is None:
            try:
                stream = await self._open(target.address)
            except TimeoutError:
                return False
            except StreamClosedError as error:
                return isinstance(error.real_error, ConnectionRefusedError)
        self.release(target, stream)
        return False

    def _limit_idle_time(self, keep_alive: float | None) -> float:
        """Return the seconds for which a connection may be reused."""
        longest = self._settings.pool_idle_timeout
        return (
            longest
            if keep_alive is None
            else min(longest, keep_alive - CLOSE_MARGIN)
        )

    async def _open(self, address: Address) -> NoDelayStream:
        """Open a connection; raises StreamClosedError or TimeoutError."""
        gate_port = self._settings.gate_port
        if gate_port is not None:
            address = Address(address.ip, gate_port)
        family = socket.AF_INET6 if ':' in address.ip else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)  # noqa: WPS425 the library's own order
        stream = NoDelayStream(sock, self._settings)
        connected = stream.connect((address.ip, address.port))
        await wait((connected,), timeout=self._settings.connect_timeout)
        if not connected.done():
            await wait_for_pending_reads()
        if not connected.done():
            stream.close()
            raise TimeoutError
        return connected.result()


def _is_usable(idle: IdleConnection) -> bool:
    return get_running_loop().time() < idle.until and _is_clean(idle.stream)


def _is_clean(stream: NoDelayStream) -> bool:
    """Return whether the connection is open without unexpected bytes."""
    if stream.closed() or stream.unread:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
