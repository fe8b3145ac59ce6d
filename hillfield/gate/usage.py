"""How much slot time of a target each client account has used lately; pure.

This limits an account that sends more than its share through all nodes: all
requests to the target pass this gate, so nothing is exchanged with other
nodes.
"""

from math import exp
from typing import Final

from hillfield.model import RequestPlan

# Seconds in which an account's usage decays to a third: some tens of requests
# long, and an account that was idle has no advantage for longer.
DECAY_SECONDS: Final = 5.0
# Accounts tracked; the one with the least usage is dropped for a new one.
MAXIMUM_ACCOUNTS: Final = 256
# Seconds of slots below which an account counts as idle and is dropped.
MINIMUM_USAGE: Final = 0.001


class AccountUsage:
    """Track the slot seconds of each account, exponentially decayed.

    >>> usage = AccountUsage()
    >>> usage.charge(10.0, 'till', 2)
    >>> usage.list_usage(10.0)
    {'till': 2.0}
    >>> round(usage.list_usage(15.0)['till'], 2)
    0.74
    >>> usage.list_usage(100.0)
    {}
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self._usage: dict[str, float] = {}
        self._updated_at: float = 0

    def charge(self, now: float, account: str, seconds: float) -> None:
        """Add the seconds that a request is expected to hold its slot."""
        usage = self.list_usage(now)
        if account not in usage and len(usage) >= MAXIMUM_ACCOUNTS:
            usage.pop(min(usage, key=usage.__getitem__))
        usage[account] = usage.get(account, 0) + seconds

    def list_usage(self, now: float) -> dict[str, float]:
        """Return the usage of each account, in seconds; no entry means 0."""
        decay = exp(min(0, self._updated_at - now) / DECAY_SECONDS)
        self._updated_at = max(now, self._updated_at)
        self._usage = {
            account: decay * used
            for account, used in self._usage.items()
            if decay * used >= MINIMUM_USAGE
        }
        return self._usage


def is_service_call(plan: RequestPlan) -> bool:
    """Return whether a request has no account and began at another service.

    Calls of running work do: they come from the node of the target that works.

    >>> is_service_call(RequestPlan('fees', 'r', '', True, 1, origin='refunds'))
    True
    >>> is_service_call(RequestPlan('fees', 'r', 'till', True, 1, origin='desk'))
    False
    """
    return not plan.account and plan.origin not in {'', plan.service}
