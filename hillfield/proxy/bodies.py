"""Body of a caller's request that is forwarded to a target."""

from asyncio import Future, get_running_loop


class RequestBody:
    """Buffer of a complete body up to a limit; above it, of its next parts."""

    def __init__(self, limit: int) -> None:
        """Start empty; `limit` is in bytes."""
        self.size = 0
        self.complete = False
        self.streamed = False
        self._limit = limit
        self._parts: list[bytes] = []
        self._consumed: Future[None] | None = None
        self._arrived: Future[None] | None = None
        self._discarding = False

    def add(self, part: bytes) -> Future[None] | None:
        """Add a part; await the future before reading the next one."""
        self.size += len(part)
        if self._discarding:
            return None
        self._parts.append(part)
        _wake(self._arrived)
        if self.size <= self._limit:
            return None
        self.streamed = True
        self._consumed = get_running_loop().create_future()
        return self._consumed

    def end(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        _wake(self._arrived)

    def join(self) -> bytes:
        """Return the buffered body, and keep it for another attempt."""
        return b''.join(self._parts)

    async def next_part(self) -> bytes:
        """Return the next part of a streamed body; empty at its end."""
        while not (self._parts or self.complete or self._discarding):
            self._arrived = get_running_loop().create_future()
            await self._arrived
        part = b''.join(self._parts)
        self._parts.clear()
        _wake(self._consumed)
        return part

    def discard(self) -> None:
        """Discard the buffered and all further parts."""
        self._discarding = True
        self._parts.clear()
        _wake(self._consumed)
        _wake(self._arrived)


def _wake(waiter: 'Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
