"""Remember which requests a target answered, or ran when it exited; pure."""

from collections import OrderedDict, deque
from typing import Final

from msgspec import Struct

from hillfield.crashes.proof import ANSWER_MEMORY_SECONDS
from hillfield.model import TargetId

# Seconds before the last broken connection within which others count as lost
# by the same exit: a process that exits closes all its connections at once,
# and a busy node reads that within a tenth of this.
EXIT_WINDOW_SECONDS: Final = 0.5
# Seconds after an exit within which further lost connections belong to it.
SAME_EXIT_SECONDS: Final = 1.0
# Unanswered runs kept of one target: more than it has slots.
MAXIMUM_RUNS: Final = 64
# Requests remembered, the latest ones: what a target of four slots answers in
# this time, at 20 milliseconds each.
MAXIMUM_REQUESTS: Final = 1024
# Answers remembered of one request: as many as exits are kept of it.
MAXIMUM_ANSWERS: Final = 16


class Run(Struct, frozen=True):
    """Hold a request that a target began and never answered.

    `ended` is in monotonic seconds, `lasted` the seconds that it ran.
    """

    fingerprint: bytes
    target: TargetId
    ended: float
    lasted: float


class TargetExit(Struct, frozen=True):
    """Report that a target exited, and during which requests.

    `number` distinguishes this exit from all others seen by the same node: the
    wall clock in milliseconds when it was noticed.
    """

    target: TargetId
    number: int
    runs: tuple[Run, ...]


class LostRuns:
    """Keep the runs that ended without an answer, until their target exits.

    A broken connection is no evidence by itself: unhealthy targets break
    single connections and keep running. Runs are reported only with the
    target's exit.

    >>> lost = LostRuns()
    >>> target = TargetId('till', 'a:1', 7)
    >>> lost.add(Run(b'x', target, 10.0, 0.1))
    >>> lost.add(Run(b'y', target, 14.0, 0.1))
    >>> [run.fingerprint for run in lost.build_exit(14.1, 14100, target).runs]
    [b'y']
    >>> lost.build_exit(15.0, 15000, target) is None
    True
    """

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: deque[Run] = deque(maxlen=MAXIMUM_RUNS)
        self._last_exit = float('-inf')
        self._number = 0

    def add(self, run: Run) -> None:
        """Add a run that ended without an answer."""
        if run.fingerprint:
            self._runs.append(run)

    def build_exit(
        self,
        now: float,
        wall: int,
        target: TargetId,
    ) -> TargetExit | None:
        """Return the target's exit, or None where it lost no run.

        Connections that are found lost later get the number of the same exit,
        so it is never counted twice.
        """
        lost = [run for run in self._runs if run.target == target]
        self._runs.clear()
        if not lost:
            return None
        if now - self._last_exit > SAME_EXIT_SECONDS:
            self._number = wall
        self._last_exit = now
        since = max(run.ended for run in lost) - EXIT_WINDOW_SECONDS
        runs = tuple(run for run in lost if run.ended >= since)
        return TargetExit(target, self._number, runs)


class ServedRequests:
    """Keep the fingerprints of requests that were answered well.

    >>> served = ServedRequests()
    >>> served.record(10.0, b'x')
    >>> served.list_answers(14.0, b'x'), served.list_answers(16.0, b'x')
    ((10.0,), ())
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._moments: OrderedDict[bytes, deque[float]] = OrderedDict()

    def record(self, now: float, fingerprint: bytes) -> None:
        """Record a good answer; `now` is in monotonic seconds."""
        moments = self._moments.get(fingerprint)
        if moments is None:
            moments = deque(maxlen=MAXIMUM_ANSWERS)
            self._moments[fingerprint] = moments
        moments.append(now)
        self._moments.move_to_end(fingerprint)
        if len(self._moments) > MAXIMUM_REQUESTS:
            self._moments.popitem(last=False)

    def list_answers(self, now: float, fingerprint: bytes) -> tuple[float, ...]:
        """Return the moments at which a request was answered recently."""
        moments = self._moments.get(fingerprint, ())
        return tuple(
            moment
            for moment in moments
            if now - moment <= ANSWER_MEMORY_SECONDS
        )
