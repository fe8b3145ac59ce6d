"""How many new requests a node takes in one pass of its loop."""

from asyncio import Future, get_running_loop
from collections import deque
from typing import Final

# Requests taken in one pass: what runs takes some seven passes at each node from
# its send to its answer, and each new request makes one about a millisecond long.
TAKEN_AT_ONCE: Final = 2


class Intake:
    """Let in requests whose heads have come, in order, a few at a time.

    The load: hundreds come at once. Taken in one pass, none of the answers to
    what runs is read before all of them are parsed and refused, and what runs
    is late with them.
    """

    def __init__(self) -> None:
        """Let in the first ones at once."""
        self._left = TAKEN_AT_ONCE
        self._waiting: deque[Future[None]] = deque()

    async def enter(self) -> None:
        """Return when it is the request's turn."""
        if self._left:
            self._take()
            return
        turn = get_running_loop().create_future()
        self._waiting.append(turn)
        await turn

    def _take(self) -> None:
        self._left -= 1
        if not self._left:
            get_running_loop().call_soon(self._renew)

    def _renew(self) -> None:
        """Let in the next ones: a pass has gone by."""
        self._left = TAKEN_AT_ONCE
        while self._waiting and self._left:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._take()
