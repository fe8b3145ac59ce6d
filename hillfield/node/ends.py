"""Find out whether the host's target has ended when it loses a request."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from typing import Final

from hillfield.clocks import monotonic, read_wall
from hillfield.crashes import TargetEnd
from hillfield.gate import Gate
from hillfield.model import TargetId
from hillfield.proxy.pool import Pool

# Seconds between the two looks at a target that lost a request. The first may
# come while its process is still closing its sockets; a target that has ended
# is away for seconds, so the second one is sure.
LOOK_AGAIN: Final = 0.05

EndTaker = Callable[[TargetEnd], None]


class EndWatch:
    """Tell a target that ended from a connection that broke.

    Sick targets break single connections and go on, so each lost request is a
    reason to look and none is evidence. A connection that is refused shows
    the end at once; where the target is back before that, its next life does.
    """

    def __init__(self, gate: Gate, pool: Pool, take: EndTaker) -> None:
        """Watch the gate's target; `take` is told of each end."""
        self._gate = gate
        self._pool = pool
        self._take = take
        self._looking: Task[None] | None = None
        gate.on_lost = self._look_at
        gate.on_replaced = self._note

    def stop(self) -> None:
        """Look no more."""
        if self._looking is not None:
            self._looking.cancel()

    def _look_at(self, target: TargetId) -> None:
        if self._looking is None or self._looking.done():
            self._looking = create_task(self._look(target))

    async def _look(self, target: TargetId) -> None:
        ended = await self._pool.is_refused(target)
        if ended:
            self._note(target)
        await sleep(LOOK_AGAIN)
        # What is read meanwhile of the same end comes under its number.
        if ended or await self._pool.is_refused(target):
            self._note(target)

    def _note(self, target: TargetId) -> None:
        wall = read_wall()
        end = self._gate.note_ended(monotonic(), wall, target)
        if end is not None:
            self._take(end)
