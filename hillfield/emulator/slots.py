"""Slots of an emulated target, with a bounded queue before them."""

from asyncio import CancelledError, Future, get_running_loop
from collections import deque


class Slots:
    """Admit up to `count` requests at once and queue up to `limit` more."""

    def __init__(self, count: int, limit: int) -> None:
        """Start with all slots free."""
        self.count = count
        self.busy = 0
        self._limit = limit
        self._waiting: deque[Future[bool]] = deque()

    @property
    def load(self) -> float:
        """Return the busy and waiting requests per slot."""
        return (self.busy + len(self._waiting)) / self.count

    async def take(self, *, waits: bool = True) -> bool:
        """Wait for a slot; False when there is none to wait for."""
        if self.busy < self.count:
            self.busy += 1
            return True
        if not waits or len(self._waiting) >= self._limit:
            return False
        turn: Future[bool] = get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            return await turn
        except CancelledError:
            self._give_up(turn)
            raise

    def free(self) -> None:
        """Hand the slot to the request that has waited longest."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(True)
                return
        self.busy -= 1

    def dismiss(self) -> None:
        """Tell all that wait that they get no slot."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(False)

    def _give_up(self, turn: 'Future[bool]') -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)
        elif not turn.cancelled() and turn.result():
            # The slot was handed over in the same step of the loop.
            self.free()
