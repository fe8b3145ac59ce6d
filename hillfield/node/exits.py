"""Detection of exits of this host's target after a lost request."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from typing import Final

from hillfield.clocks import monotonic, read_wall
from hillfield.crashes import TargetExit
from hillfield.gate import Gate
from hillfield.model import TargetId
from hillfield.proxy.pool import Pool

# Seconds between the two checks of a target that lost a request. The first one
# may run while the process is still closing its sockets; an exited target is
# down for seconds, so the second check is reliable.
SECOND_CHECK_AFTER: Final = 0.05

ExitListener = Callable[[TargetExit], None]


class ExitWatch:
    """Distinguish an exit of the target from a broken connection.

    Unhealthy targets break single connections and keep running, so a lost
    request only triggers a check and is no evidence by itself. A refused
    connection shows the exit at once; if the target has restarted before
    the check, its next incarnation shows it.
    """

    def __init__(self, gate: Gate, pool: Pool, on_exit: ExitListener) -> None:
        """Watch the gate's target; `on_exit` is called with each exit."""
        self._gate = gate
        self._pool = pool
        self._on_exit = on_exit
        self._checking: Task[None] | None = None
        gate.on_lost = self._start_check
        gate.on_replaced = self._record

    def stop(self) -> None:
        """Cancel a check that runs."""
        if self._checking is not None:
            self._checking.cancel()

    def _start_check(self, target: TargetId) -> None:
        if self._checking is None or self._checking.done():
            self._checking = create_task(self._check(target))

    async def _check(self, target: TargetId) -> None:
        ended = await self._pool.is_refused(target)
        if ended:
            self._record(target)
        await sleep(SECOND_CHECK_AFTER)
        # Lost requests of the same exit that were read meanwhile get its number.
        if ended or await self._pool.is_refused(target):
            self._record(target)

    def _record(self, target: TargetId) -> None:
        wall = read_wall()
        target_exit = self._gate.record_exit(monotonic(), wall, target)
        if target_exit is not None:
            self._on_exit(target_exit)
