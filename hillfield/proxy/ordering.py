"""Order of the answers on one caller's connection."""

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct


class Answering(Protocol):
    """Answer to one request, written only once its slot is open.

    `held`: how many bytes are buffered until then; `closing`: the connection
    ends after the answer.
    """

    held: int
    closing: bool

    def take(self) -> None:
        """Write what is buffered, and all later parts immediately."""


class _Place(Struct, frozen=True):
    answer: Answering
    leave: Callable[[], None]


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
        self._places: deque[_Place] = deque()
        self._change: Future[None] | None = None

    def join(self, answer: Answering, leave: Callable[[], None]) -> None:
        """Append an answer; `cancel` cancels its request."""
        self._places.append(_Place(answer, leave))
        if len(self._places) == 1:
            answer.take()

    def is_busy(self) -> bool:
        """Return whether an answer is still to be written."""
        return bool(self._places)

    def has_room(self) -> bool:
        """Return whether another request may be read."""
        if len(self._places) >= self._depth:
            return False
        held = sum(place.answer.held for place in self._places)
        return held <= self._held_limit

    def note_ended(self, answer: Answering) -> None:
        """Open the next slot; no answer follows one that closes."""
        if not self._places or self._places[0].answer is not answer:
            return
        self._places.popleft()
        if self._places and not answer.closing:
            self._places[0].answer.take()
        if not self._places:
            self.idle_since = get_running_loop().time()
        self.wake()

    def close_after_last(self) -> bool:
        """Close the connection after the last request read, if any."""
        if not self._places:
            return False
        self._places[-1].answer.closing = True
        return True

    async def wait(self) -> None:
        """Wait until an answer has ended, or `wake` is called."""
        self._change = get_running_loop().create_future()
        await self._change

    def wake(self) -> None:
        """Wake up the waiting reader."""
        if self._change is not None and not self._change.done():
            self._change.set_result(None)

    def leave(self) -> None:
        """Cancel all requests after the connection has ended."""
        while self._places:
            self._places.popleft().leave()
        self.wake()
