"""How many requests a second the host's target takes; pure.

This answers a target in need: it names a limit in its answers, for all nodes
together, for as long as it says so. The gate sees every request to it, so it
holds the sum over the fleet by itself, and no message is needed.
"""

from typing import Final

from hillfield.routing.budgets import Bucket

# Seconds of the limit that may be saved up while fewer requests come: as much
# as a request may wait here, so that a pause between two costs no turn.
SAVED_SECONDS: Final = 0.5
# Requests a second at least: with none at all the end of a need would never be
# heard. One each 4 s is within what a limit of 0 leaves (users' rules).
LEAST_RATE: Final = 0.25
SHOWN_DIGITS: Final = 3
# Seconds between two lines of what a limit has done.
TOLD_EVERY: Final = 4.0


class RateLimit:
    """Hold the limit that one life of a target names; times are seconds.

    `rate` is None while it names none; `sent` and `declined` count what the
    limit has let through and turned away since that was last told.

    >>> limit = RateLimit()
    >>> limit.hear(0, 0, 2.0)
    True
    >>> limit.count_turns(0.4), limit.count_turns(0.5)
    (0, 1)
    >>> limit.take(0.5)
    >>> limit.find_wait(0.5, ahead=1)
    1.0
    """

    def __init__(self) -> None:
        """Start with no limit."""
        self.rate: float | None = None
        self.sent = 0
        self.declined = 0
        self._told: float = 0
        self._heard = float('-inf')
        self._bucket = Bucket(1, 0)
        self._filled: float = 0

    def hear(self, now: float, began: float, rate: float | None) -> bool:
        """Take an answer's word; tell whether the limit has changed.

        `began` is when the answer's request was sent: answers overlap, so
        what allows more counts only if it is newer for sure than what it
        replaces; what allows less counts at once.
        """
        if _allows_more(rate, self.rate) and began < self._heard:
            return False
        self._heard = now
        return self._adopt(now, rate, turns=0)

    def adopt_told(self, now: float, rate: float) -> bool:
        """Take what another node was told; tell whether it limits more.

        That may be old, so it counts only until the target has said anything
        itself: one request is let through at once, to hear that.
        """
        if self._heard > float('-inf') or _allows_more(rate, self.rate):
            return False
        return self._adopt(now, max(0, rate), turns=1)

    def take(self, now: float) -> None:
        """Count a request that is let through."""
        if self.rate is None:
            return
        self._pass_time(now)
        self.sent += 1
        self._bucket.take()

    def count_turns(self, now: float) -> int | None:
        """Return how many more it lets through at once; None: no limit."""
        if self.rate is None:
            return None
        self._pass_time(now)
        return int(self._bucket.tokens)

    def find_wait(self, now: float, ahead: int) -> float:
        """Return the seconds until one is let through, after so many."""
        if self.rate is None:
            return 0
        self._pass_time(now)
        missing = ahead + 1 - self._bucket.tokens
        return max(0, missing / self._find_pace())

    def tell(self, now: float) -> str:
        """Return what it has done lately; nothing while that is too new."""
        seconds = now - self._told
        if self.rate is None or seconds < TOLD_EVERY:
            return ''
        counts = f'{self.sent} sent, {self.declined} declined'
        told = f'{show_rate(self.rate)}: {counts} in {seconds:.1f} s'
        idle = not (self.sent or self.declined)
        self._begin_counting(now)
        return '' if idle else told

    def _begin_counting(self, now: float) -> None:
        self._told = now
        self.sent = 0
        self.declined = 0

    def _adopt(self, now: float, rate: float | None, turns: int) -> bool:
        """Take a rate, with so many turns if there was no limit before."""
        if rate == self.rate:
            return False
        if self.rate is None:
            self._begin_counting(now)
            self._bucket.tokens = turns
        self._pass_time(now)
        self.rate = rate
        self._bucket.bound(max(1, SAVED_SECONDS * self._find_pace()))
        return True

    def _pass_time(self, now: float) -> None:
        if self.rate is not None:
            passed = max(0, now - self._filled)
            self._bucket.deposit(passed * self._find_pace())
        self._filled = now

    def _find_pace(self) -> float:
        return max(LEAST_RATE, self.rate or 0)


def show_rate(rate: float) -> str:
    """Return a limit as people read it.

    >>> show_rate(2.4)
    '2.4 requests a second'
    """
    return f'{round(rate, SHOWN_DIGITS)} requests a second'


def _allows_more(rate: float | None, than: float | None) -> bool:
    if than is None:
        return False
    return rate is None or rate > than
