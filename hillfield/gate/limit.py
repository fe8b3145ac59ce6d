"""Hold the rate limit that the host's target names in its answers; pure.

A target that needs relief names a limit in its answers, in requests a second
from all nodes together, for as long as it answers so. All requests to it pass
this gate, so the gate enforces the fleet's total without any message.
"""

from typing import Final

from hillfield.routing.budgets import Bucket

# Seconds of the limit that tokens may be saved up for while fewer requests
# come: as much as a request may wait here, so that a gap between two requests
# wastes no token.
BURST_SECONDS: Final = 0.5
# Minimum rate in requests a second: with none at all, the gate would never
# learn that the limit has ended. One each 4 s is within what a limit of 0
# permits.
MINIMUM_RATE: Final = 0.25
SHOWN_DIGITS: Final = 3
# Seconds between two log entries on what the limit has done.
SUMMARY_INTERVAL: Final = 4.0


class RateLimit:
    """Hold the limit of one incarnation of a target; times are seconds.

    `rate` is None while the target names none; `sent` and `declined` count
    requests that the limit has let through and refused since the last summary.

    >>> limit = RateLimit()
    >>> limit.apply_notice(0, 0, 2.0)
    True
    >>> limit.count_tokens(0.4), limit.count_tokens(0.5)
    (0, 1)
    >>> limit.consume(0.5)
    >>> limit.estimate_wait(0.5, ahead=1)
    1.0
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.rate: float | None = None
        self.sent = 0
        self.declined = 0
        self._counted_since: float = 0
        self._received_at = float('-inf')
        self._bucket = Bucket(1, 0)
        self._refilled_at: float = 0

    def apply_notice(
        self,
        now: float,
        began: float,
        rate: float | None,
    ) -> bool:
        """Apply the limit of an answer; return whether the limit has changed.

        `began` is when the answer's request was sent. Answers overlap, so a
        higher limit is applied only if its request began after the limit in
        force was received; a lower one is applied at once.
        """
        if _allows_more(rate, self.rate) and began < self._received_at:
            return False
        self._received_at = now
        return self._adopt(now, rate, initial_tokens=0)

    def adopt_forwarded(self, now: float, rate: float) -> bool:
        """Apply a limit that another node received; return if it was adopted.

        It may be old, so it applies only until the target itself has answered:
        one request is let through at once to get that answer.
        """
        if self._received_at > float('-inf') or _allows_more(rate, self.rate):
            return False
        return self._adopt(now, max(0, rate), initial_tokens=1)

    def consume(self, now: float) -> None:
        """Consume a token for a request that is sent."""
        if self.rate is None:
            return
        self._refill(now)
        self.sent += 1
        self._bucket.consume()

    def count_tokens(self, now: float) -> int | None:
        """Return how many requests may be sent at once; None: no limit."""
        if self.rate is None:
            return None
        self._refill(now)
        return int(self._bucket.tokens)

    def estimate_wait(self, now: float, ahead: int) -> float:
        """Return the seconds until a request behind `ahead` others is sent."""
        if self.rate is None:
            return 0
        self._refill(now)
        missing = ahead + 1 - self._bucket.tokens
        return max(0, missing / self._compute_rate())

    def summarize(self, now: float) -> str:
        """Return a summary of the limit's effect; empty: none is due."""
        seconds = now - self._counted_since
        if self.rate is None or seconds < SUMMARY_INTERVAL:
            return ''
        counts = f'{self.sent} sent, {self.declined} declined'
        summary = f'{format_rate(self.rate)}: {counts} in {seconds:.1f} s'
        idle = not (self.sent or self.declined)
        self._reset_counts(now)
        return '' if idle else summary

    def _reset_counts(self, now: float) -> None:
        self._counted_since = now
        self.sent = 0
        self.declined = 0

    def _adopt(
        self, now: float, rate: float | None, initial_tokens: int
    ) -> bool:
        """Set the rate, with `initial_tokens` if there was no limit before."""
        if rate == self.rate:
            return False
        if self.rate is None:
            self._reset_counts(now)
            self._bucket.tokens = initial_tokens
        self._refill(now)
        self.rate = rate
        self._bucket.resize(max(1, BURST_SECONDS * self._compute_rate()))
        return True

    def _refill(self, now: float) -> None:
        if self.rate is not None:
            elapsed = max(0, now - self._refilled_at)
            self._bucket.deposit(elapsed * self._compute_rate())
        self._refilled_at = now

    def _compute_rate(self) -> float:
        return max(MINIMUM_RATE, self.rate or 0)


def format_rate(rate: float) -> str:
    """Return a limit as text for people.

    >>> format_rate(2.4)
    '2.4 requests a second'
    """
    return f'{round(rate, SHOWN_DIGITS)} requests a second'


def _allows_more(rate: float | None, than: float | None) -> bool:
    if than is None:
        return False
    return rate is None or rate > than
