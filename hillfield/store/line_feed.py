"""Cut the stream of a watch into lines."""

from asyncio import Event, timeout
from collections import deque
from typing import Final

from expression import Error, Ok, Result

from hillfield.store.store_settings import StoreSettings

NEWLINE: Final = b'\n'


class LineFeed:
    """Cut a stream into lines, bounded in bytes."""

    def __init__(self, settings: StoreSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._lines: deque[bytes] = deque()
        # The line that isn't whole yet, in the parts that came: joining each
        # with all before it would take time by the square of its length.
        self._parts: list[bytes] = []
        self._held = 0
        self._end = ''
        self._woken = Event()

    def take(self, chunk: bytes) -> None:
        """Take the next part of the stream."""
        if self._end:
            return
        parts = chunk.split(NEWLINE)
        grown = self._held + sum(map(len, parts))
        if grown > self._settings.answer_limit:
            self.finish('the watch is not read as fast as it grows')
        else:
            self._held = grown
            self._keep(parts)
        self._woken.set()

    def finish(self, reason: str) -> None:
        """End the stream after the lines that are whole."""
        self._end = self._end or reason
        self._woken.set()

    async def next_line(self) -> Result[bytes, str]:
        """Return the next line, or why there will be none."""
        while not self._lines and not self._end:
            self._woken.clear()
            await self._woken.wait()
        if not self._lines:
            return Error(self._end)
        line = self._lines.popleft()
        self._held -= len(line)
        return Ok(line)

    def _keep(self, parts: list[bytes]) -> None:
        first, *others = parts
        self._parts.append(first)
        for part in others:
            self._lines.append(b''.join(self._parts))
            self._parts = [part]


async def wait_for_line(
    feed: LineFeed,
    patience: float,
) -> Result[bytes, str]:
    """Return the next line, waiting up to `patience` seconds.

    Not by `asyncio.wait_for`: that drops a cancellation which comes together
    with the line, and the watch then goes on for somebody who has gone.
    """
    try:
        async with timeout(patience):
            return await feed.next_line()
    except TimeoutError:
        return Error('the watch is silent')
