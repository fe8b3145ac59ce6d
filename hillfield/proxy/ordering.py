"""Order of the answers on one caller's connection."""

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct


class Answering(Protocol):
    """Be the answer to one request, written only once it is its turn.

    `held` is how many bytes wait for the turn, `closing` that the connection
    ends behind the answer.
    """

    held: int
    closing: bool

    def take(self) -> None:
        """Write what is held, and all that follows at once."""


class _Place(Struct, frozen=True):
    answer: Answering
    leave: Callable[[], None]


class AnswerOrder:
    """Let answers out in the order in which their requests were read.

    Requests that a caller sends before the first is answered run side by
    side: one after the other, the last would wait for the work of all.
    `idle_since` is when the last answer was written, in loop seconds.
    """

    def __init__(self, depth: int, held_limit: int) -> None:
        """Read on while under `depth` requests and `held_limit` bytes wait."""
        self.idle_since = float()
        self._depth = depth
        self._held_limit = held_limit
        self._places: deque[_Place] = deque()
        self._change: Future[None] | None = None

    def join(self, answer: Answering, leave: Callable[[], None]) -> None:
        """Line an answer up; `leave` cancels its request."""
        self._places.append(_Place(answer, leave))
        if len(self._places) == 1:
            answer.take()

    def is_busy(self) -> bool:
        """Tell whether an answer is still to be written."""
        return bool(self._places)

    def has_room(self) -> bool:
        """Tell whether a further request may be read."""
        if len(self._places) >= self._depth:
            return False
        held = sum(place.answer.held for place in self._places)
        return held <= self._held_limit

    def note_ended(self, answer: Answering) -> None:
        """Let the next answer out; nothing follows one that closes."""
        if not self._places or self._places[0].answer is not answer:
            return
        self._places.popleft()
        if self._places and not answer.closing:
            self._places[0].answer.take()
        if not self._places:
            self.idle_since = get_running_loop().time()
        self.wake()

    def close_after_last(self) -> bool:
        """Let the last request read be the connection's last, if any."""
        if not self._places:
            return False
        self._places[-1].answer.closing = True
        return True

    async def wait(self) -> None:
        """Wait until an answer has ended, or `wake` is called."""
        self._change = get_running_loop().create_future()
        await self._change

    def wake(self) -> None:
        """Let who waits look again."""
        if self._change is not None and not self._change.done():
            self._change.set_result(None)

    def leave(self) -> None:
        """Cancel all requests: the connection has ended."""
        while self._places:
            self._places.popleft().leave()
        self.wake()
