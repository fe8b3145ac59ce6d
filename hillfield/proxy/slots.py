"""Slot of one answer among those of its connection."""

from asyncio import Future, get_running_loop
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from hillfield.proxy.ordering import AnswerOrder
from hillfield.proxy.streams import CallerStream, has_closed_writing


class ResponseSlot:
    """Buffer what an answer writes until those before it are written.

    `is_open`: writes are no longer buffered; `held`: how many bytes are
    buffered; `closing`: the connection ends after the answer.
    """

    def __init__(self, stream: CallerStream, order: AnswerOrder) -> None:
        """Start outside of the order, until the request has been read."""
        self.is_open = False
        self.held = 0
        self.closing = False
        self._stream = stream
        self._order = order
        self._steps: list[Callable[[], object]] = []
        self._waiter: Future[None] | None = None

    def join(self, cancel: Callable[[], None]) -> None:
        """Join the order behind earlier requests; `cancel` cancels this one."""
        self._order.join(self, cancel)

    def open(self) -> None:
        """Write what is buffered, and all later parts immediately."""
        self.is_open = True
        steps = tuple(self._steps)
        self.clear_buffer()
        for step in steps:
            step()

    def write(self, step: Callable[[], object], size: int = 0) -> None:
        """Write now or once the slot is open; `size` is in bytes."""
        if self.is_open:
            step()
        else:
            self._steps.append(step)
            self.held += size

    def enqueue(
        self,
        step: Callable[[], 'Future[None]'],
        size: int,
    ) -> 'Future[None]':
        """Write now or once the slot is open; the future bounds the buffer."""
        if self.is_open:
            return step()
        self.write(step, size)
        if self._waiter is None:
            self._waiter = get_running_loop().create_future()
        return self._waiter

    def clear_buffer(self) -> None:
        """Discard what is buffered."""
        self._steps.clear()
        self.held = 0
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def end(self) -> None:
        """Open the slot of the next answer."""
        self._order.advance(self)

    def cancel_following(self) -> None:
        """Cancel the requests behind this one: the connection ends."""
        self._order.cancel_all()

    async def wait(self) -> bool:
        """Wait until earlier answers are written; False: they never will be."""
        stream = self._stream
        stream.set_close_callback(self._order.wake)
        while not (self.is_open or _is_over(stream)):
            await self._order.wait()
        stream.set_close_callback(None)
        if not _is_over(stream):
            await _flush(stream)
        if stream.unread and has_closed_writing(stream):
            stream.abandon()
        return not _is_over(stream)


class RefusalSlot:
    """Slot of a refusal that ends a connection, behind other answers."""

    def __init__(self, stream: CallerStream, answer: bytes) -> None:
        """Buffer the refusal until its slot is opened."""
        self.held = len(answer)
        self.closing = True
        self._stream = stream
        self._answer = answer

    def open(self) -> None:
        """Write the refusal, and end the connection."""
        if not self._stream.closed():
            self._stream.linger(self._stream.write(self._answer))

    def cancel(self) -> None:
        """Do nothing: no request runs, and what was written is still sent."""


def _is_over(stream: CallerStream) -> bool:
    return stream.lingering or stream.closed()


async def _flush(stream: CallerStream) -> None:
    try:
        await stream.write(b'')
    except StreamClosedError:
        stream.abandon()
