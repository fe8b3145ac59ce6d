"""Token buckets that bound retries, hedges and the requests of an account."""

from collections import OrderedDict
from math import exp
from typing import Final

from hillfield.model import ServicePolicy

HEDGE_BURST: Final = 2.0
# Most seconds between two calls for which tokens are added by elapsed time.
LONGEST_INTERVAL: Final = 10.0
# Cost of a retry after an attempt that reached no target, relative to others.
UNSENT_COST: Final = 0.1
UNSENT_BURST: Final = 50.0
ACCOUNT_BURST: Final = 3.0
RATE_BURST_SECONDS: Final = 1.0
ACCOUNTS_KEPT: Final = 4096


class Bucket:
    """Hold tokens up to a bound, the burst.

    >>> bucket = Bucket(burst=2, tokens=1)
    >>> bucket.consume(), bucket.consume()
    (True, False)
    >>> bucket.deposit(1.5)
    >>> bucket.consume()
    True
    """

    __slots__ = ('burst', 'tokens')

    def __init__(self, burst: float, tokens: float) -> None:
        """Start with this many tokens."""
        self.burst = burst
        self.tokens = tokens

    def deposit(self, tokens: float) -> None:
        """Add tokens; those beyond the bound are discarded."""
        self.tokens = min(self.burst, self.tokens + tokens)

    def resize(self, burst: float) -> None:
        """Set the bound; tokens beyond it are discarded."""
        self.burst = burst
        self.tokens = min(burst, self.tokens)

    def can_consume(self, cost: float = 1) -> bool:
        """Return whether the tokens cover the cost."""
        return self.tokens >= cost

    def consume(self, cost: float = 1) -> bool:
        """Consume the cost if the tokens cover it."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


class EarnedBucket(Bucket):
    """Hold tokens up to a bound that grows with what is earned.

    A target that fails for 0.5 s fails all requests sent to it in that time,
    so the retries allowed must grow with the traffic. The bound is what was
    earned in about the last `saving_seconds`, at least `minimum`; it shrinks
    again while no request is answered.

    >>> bucket = EarnedBucket(minimum=2, saving_seconds=1)
    >>> for step in range(30):
    ...     bucket.earn(step / 10, 1)
    >>> bucket.tokens > 5
    True
    >>> bucket.decay(60)
    >>> bucket.tokens
    2
    """

    __slots__ = ('_earned', '_minimum', '_saving_seconds', '_updated')

    def __init__(self, minimum: float, saving_seconds: float) -> None:
        """Start full and with nothing earned."""
        super().__init__(minimum, minimum)
        self._minimum = minimum
        self._saving_seconds = saving_seconds
        self._earned = float()
        self._updated = float()

    def copy(self, minimum: float) -> 'EarnedBucket':
        """Return a full bucket that has earned as much."""
        copied = EarnedBucket(minimum, self._saving_seconds)
        copied._earned = self._earned
        copied._updated = self._updated
        copied._update_burst()
        copied.tokens = copied.burst
        return copied

    def set_bounds(self, minimum: float, saving_seconds: float) -> None:
        """Replace the least bound and the seconds of saving."""
        self._minimum = minimum
        self._saving_seconds = saving_seconds
        self._update_burst()

    def earn(self, now: float, tokens: float) -> None:
        """Add the tokens that an answered request earns."""
        self.decay(now)
        self._earned += tokens
        self._update_burst()
        self.deposit(tokens)

    def decay(self, now: float) -> None:
        """Decay what was earned, and the bound with it, until now."""
        elapsed = max(0, now - self._updated)
        self._updated = max(now, self._updated)
        if self._earned:
            kept = (
                exp(-elapsed / self._saving_seconds)
                if self._saving_seconds
                else 0
            )
            self._earned *= kept
            self._update_burst()

    def _update_burst(self) -> None:
        self.resize(max(self._minimum, self._saving_seconds and self._earned))


class RetryBudget:
    """Bound the retries and hedges of a service and of each account.

    Answered requests earn tokens: if a whole service fails, none are earned and
    attempts per request tend to 1. The bursts grow with the traffic of the
    service and of each account. Retries after a shed answer and of requests
    that were not sent have separate buckets with larger bursts and deposits,
    since the former use no slot and the latter put no load on any target.
    """

    def __init__(self, policy: ServicePolicy) -> None:
        """Start with full buckets, so that a first failure can be retried."""
        self._shed_cost = policy.shed_cost
        self.retries = EarnedBucket(policy.retry_burst, policy.retry_saving)
        self.sheds = Bucket(policy.shed_burst, policy.shed_burst)
        self.unsent = Bucket(UNSENT_BURST, UNSENT_BURST)
        self._own_hedges = Bucket(HEDGE_BURST, 0)
        self.hedges = self._choose_hedges(policy)
        self._now: float = 0
        self._accounts: OrderedDict[str, EarnedBucket] = OrderedDict()

    def record_answered(self, policy: ServicePolicy, account: str) -> None:
        """Deposit what one answered request earns."""
        self.retries.earn(self._now, policy.retry_budget)
        self.sheds.deposit(policy.retry_budget / policy.shed_cost)
        self.unsent.deposit(policy.retry_budget / UNSENT_COST)
        self.hedges.deposit(policy.hedge_budget or 0)
        bucket = self._accounts.get(account)
        if bucket is not None:
            bucket.earn(self._now, policy.retry_budget)

    def advance(self, now: float, policy: ServicePolicy) -> None:
        """Deposit the tokens that the seconds since the last call add."""
        seconds = min(LONGEST_INTERVAL, now - self._now)
        self._now = now
        self.retries.decay(now)
        self.retries.deposit(policy.retry_rate * seconds)

    def adopt(self, policy: ServicePolicy) -> None:
        """Use the bounds of a new policy; tokens beyond them are discarded."""
        self._shed_cost = policy.shed_cost
        self.hedges = self._choose_hedges(policy)
        self.retries.set_bounds(policy.retry_burst, policy.retry_saving)
        self.sheds.resize(policy.shed_burst)

    def consume_retry(self, account: str, shed: bool) -> bool:
        """Consume a retry from the service's and the account's budget."""
        cost = self._shed_cost if shed else 1
        # If a retry after a shed answer costs as much as any, both share a
        # bucket.
        service_bucket = self.sheds if cost < 1 else self.retries
        bucket = self._account_bucket(account)
        bucket.decay(self._now)
        if not (service_bucket.can_consume() and bucket.can_consume(cost)):
            return False
        service_bucket.consume()
        return bucket.consume(cost)

    def consume_unsent(self) -> bool:
        """Consume a retry of a request that could not be sent."""
        return self.unsent.consume()

    def consume_hedge(self) -> bool:
        """Consume a hedge from the service's budget."""
        return self.hedges.consume()

    def _choose_hedges(self, policy: ServicePolicy) -> Bucket:
        shared = policy.hedge_budget is None
        return self.retries if shared else self._own_hedges

    def _account_bucket(self, account: str) -> EarnedBucket:
        bucket = self._accounts.get(account)
        if bucket is None:
            # Before its first answers, an account may be all of the traffic.
            bucket = self.retries.copy(ACCOUNT_BURST)
            self._accounts[account] = bucket
            if len(self._accounts) > ACCOUNTS_KEPT:
                self._accounts.popitem(last=False)
        self._accounts.move_to_end(account)
        return bucket


class RateLimiter:
    """Limit the requests a second of each account at this node."""

    def __init__(self) -> None:
        """Start without accounts."""
        self._buckets: OrderedDict[str, tuple[Bucket, float]] = OrderedDict()

    def consume_or_delay(
        self, now: float, account: str, rate: float | None
    ) -> float:
        """Consume a token and return 0, or return the seconds to wait."""
        if rate is None or rate <= 0:
            return 0
        burst = max(1, rate * RATE_BURST_SECONDS)
        bucket, seen = self._buckets.get(account) or (
            Bucket(burst, burst),
            now,
        )
        bucket.burst = burst
        bucket.deposit(max(0, now - seen) * rate)
        self._buckets[account] = (bucket, max(now, seen))
        self._buckets.move_to_end(account)
        if len(self._buckets) > ACCOUNTS_KEPT:
            self._buckets.popitem(last=False)
        if bucket.consume():
            return 0
        return (1 - bucket.tokens) / rate
