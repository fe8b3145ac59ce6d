"""Modelled targets: work with a tail, calls, spells in which they hang."""

from collections.abc import Callable
from functools import partial
from math import exp, log
from random import Random

from hillfield.experiments.calling.clock import Clock
from hillfield.experiments.calling.deployment import Kind, Need, Spells
from hillfield.model import NO_NOTICE, TargetNotice

OK = 200
ERROR = 500
# No answer: the connection is reset.
RESET = 0
CallEnd = Callable[[bool], None]
# Starts a call of a run: its kind, the seconds left, the run.
Caller = Callable[[str, float, 'Run'], None]


class Run:
    """Run one request: its work, then the calls that it needs."""

    def __init__(
        self,
        kind: Kind,
        expires: float,
        end: Callable[[int], None],
        name: str = '',
        is_repeat: bool = False,
    ) -> None:
        """Prepare; `end` is told of the status, unless it is cut."""
        self.kind = kind
        self.name = name
        self.is_repeat = is_repeat
        self.expires = expires
        self.cut = False
        self._end = end
        self._missing = 0
        self._failed = False

    def await_calls(self, count: int) -> None:
        """Expect so many calls to end."""
        self._missing = count

    def end_call(self, good: bool) -> None:
        """Note the end of a call."""
        self._missing -= 1
        self._failed |= not good
        if not self._missing:
            self.end(ERROR if self._failed else OK)

    def end(self, status: int) -> None:
        """Answer, unless the caller has left."""
        if not self.cut:
            self.cut = True
            self._end(status)


class ModelTarget:
    """Run requests; health is always good."""

    def __init__(
        self,
        clock: Clock,
        spells: Spells,
        random: Random,
        call: Caller,
    ) -> None:
        """Draw the phase of its stretches."""
        self.need: Need | None = None
        self._clock = clock
        self._spells = spells
        self._random = random
        self._call = call
        self._phase = random.random() * spells.stretch
        self._sick: dict[int, bool] = {}

    def find_notice(self) -> TargetNotice:
        """Return what it says of itself now."""
        need = self.need
        if need is None or not need.begin <= self._clock.now < need.end:
            return NO_NOTICE
        return TargetNotice(need.rate)

    def is_sick(self) -> bool:
        """Tell whether most requests hang now."""
        moment = self._clock.now + self._phase
        stretch = int(moment // self._spells.stretch)
        if stretch not in self._sick:
            drawn = self._random.random() < self._spells.share
            self._sick[stretch] = drawn
        return self._sick[stretch]

    def start(
        self,
        kind: Kind,
        expires: float,
        end: Callable[[int], None],
        name: str = '',
        is_repeat: bool = False,
    ) -> Run:
        """Start a request; it may never end."""
        run = Run(kind, expires, end, name, is_repeat)
        if self.is_sick() and self._fail(run):
            return run
        if self._random.random() < kind.errors:
            self._clock.call_later(kind.work / 2, partial(run.end, ERROR))
            return run
        middle = log(kind.work) - kind.spread**2 / 2
        seconds = exp(self._random.gauss(middle, kind.spread))
        self._clock.call_later(seconds, partial(self._finish_work, run))
        return run

    def _fail(self, run: Run) -> bool:
        drawn = self._random.random()
        if drawn < self._spells.hangs:
            return True
        if drawn >= self._spells.hangs + self._spells.resets:
            return False
        self._clock.call_later(float(), partial(run.end, RESET))
        return True

    def _finish_work(self, run: Run) -> None:
        kind = run.kind
        if run.cut:
            return
        if not kind.calls or self._random.random() >= kind.share:
            run.end(OK)
            return
        run.await_calls(kind.times)
        left = run.expires - self._clock.now
        for _ in range(kind.times):
            self._call(kind.calls, left, run)
