"""Order of the answers on one caller's connection."""

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct


class OrderedAnswer(Protocol):
    """Answer to one request, written only once its slot is open.

    `held`: how many bytes are buffered until then; `closing`: the connection
    ends after the answer.
    """

    held: int
    closing: bool

    def open(self) -> None:
        """Write what is buffered, and all later parts immediately."""


class _QueuedAnswer(Struct, frozen=True):
    answer: OrderedAnswer
    cancel: Callable[[], None]


class AnswerOrder:
    """Write answers in the order in which their requests were read.

    Requests that a caller pipelines run concurrently: one after the other,
    the last would wait for the time of all. `idle_since` is when the last
    answer was written, in loop seconds.
    """

    def __init__(self, depth: int, held_limit: int) -> None:
        """Set the limits of pending requests and of bytes buffered for them."""
        self.idle_since = float()
        self._depth = depth
        self._held_limit = held_limit
        self._queue: deque[_QueuedAnswer] = deque()
        self._change: Future[None] | None = None

    def join(self, answer: OrderedAnswer, cancel: Callable[[], None]) -> None:
        """Append an answer; `cancel` cancels its request."""
        self._queue.append(_QueuedAnswer(answer, cancel))
        if len(self._queue) == 1:
            answer.open()

    def is_busy(self) -> bool:
        """Return whether an answer is still to be written."""
        return bool(self._queue)

    def accepts_more(self) -> bool:
        """Return whether another request may be read."""
        if len(self._queue) >= self._depth:
            return False
        held = sum(queued.answer.held for queued in self._queue)
        return held <= self._held_limit

    def advance(self, answer: OrderedAnswer) -> None:
        """Open the next slot; no answer follows one that closes."""
        if not self._queue or self._queue[0].answer is not answer:
            return
        self._queue.popleft()
        if self._queue and not answer.closing:
            self._queue[0].answer.open()
        if not self._queue:
            self.idle_since = get_running_loop().time()
        self.wake()

    def close_after_last(self) -> bool:
        """Close the connection after the last request read, if any."""
        if not self._queue:
            return False
        self._queue[-1].answer.closing = True
        return True

    async def wait(self) -> None:
        """Wait until an answer has ended, or `wake` is called."""
        self._change = get_running_loop().create_future()
        await self._change

    def wake(self) -> None:
        """Wake up the waiting reader."""
        if self._change is not None and not self._change.done():
            self._change.set_result(None)

    def cancel_all(self) -> None:
        """Cancel all requests after the connection has ended."""
        while self._queue:
            self._queue.popleft().cancel()
        self.wake()
