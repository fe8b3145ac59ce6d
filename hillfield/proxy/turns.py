"""Turn of one answer among those of its connection."""

from asyncio import Future, get_running_loop
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from hillfield.proxy.leaving import has_left
from hillfield.proxy.ordering import AnswerOrder
from hillfield.proxy.streams import CallerStream


class Turn:
    """Hold what an answer writes until those before it are written.

    `come` tells that nothing is held any more, `held` how many bytes wait,
    `closing` that the connection ends behind the answer.
    """

    def __init__(self, stream: CallerStream, order: AnswerOrder) -> None:
        """Stay out of the order until the request has been read."""
        self.come = False
        self.held = 0
        self.closing = False
        self._stream = stream
        self._order = order
        self._steps: list[Callable[[], object]] = []
        self._waiter: Future[None] | None = None

    def join(self, leave: Callable[[], None]) -> None:
        """Line up behind the requests read before; `leave` cancels this one."""
        self._order.join(self, leave)

    def take(self) -> None:
        """Write what is held, and all that follows at once."""
        self.come = True
        steps = tuple(self._steps)
        self.drop()
        for step in steps:
            step()

    def run(self, step: Callable[[], object], size: int = 0) -> None:
        """Write now or in the turn; `size` is in bytes."""
        if self.come:
            step()
        else:
            self._steps.append(step)
            self.held += size

    def put(
        self,
        step: Callable[[], 'Future[None]'],
        size: int,
    ) -> 'Future[None]':
        """Write now or in the turn; the future bounds what is held."""
        if self.come:
            return step()
        self.run(step, size)
        if self._waiter is None:
            self._waiter = get_running_loop().create_future()
        return self._waiter

    def drop(self) -> None:
        """Forget what is held."""
        self._steps.clear()
        self.held = 0
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def end(self) -> None:
        """Let the next answer out."""
        self._order.note_ended(self)

    def end_all(self) -> None:
        """Cancel the requests behind: the connection ends here."""
        self._order.leave()

    async def wait(self) -> bool:
        """Wait until all answers before are written; False: never will be."""
        stream = self._stream
        stream.set_close_callback(self._order.wake)
        while not (self.come or _is_over(stream)):
            await self._order.wait()
        stream.set_close_callback(None)
        if not _is_over(stream):
            await _flush(stream)
        if stream.unread and has_left(stream):
            stream.abandon()
        return not _is_over(stream)


class LastTurn:
    """Be the refusal that ends a connection, behind other answers."""

    def __init__(self, stream: CallerStream, answer: bytes) -> None:
        """Hold the refusal until its turn."""
        self.held = len(answer)
        self.closing = True
        self._stream = stream
        self._answer = answer

    def take(self) -> None:
        """Write it, and end the connection."""
        if not self._stream.closed():
            self._stream.linger(self._stream.write(self._answer))

    def leave(self) -> None:
        """Cancel nothing: nothing runs. What was written still goes out."""


def _is_over(stream: CallerStream) -> bool:
    return stream.lingering or stream.closed()


async def _flush(stream: CallerStream) -> None:
    try:
        await stream.write(b'')
    except StreamClosedError:
        stream.abandon()
