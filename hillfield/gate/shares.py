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
MEMORY: Final = 5.0
# Accounts tracked; the one with the least usage is dropped for a new one.
MOST_ACCOUNTS: Final = 256
# Seconds of slots below which an account counts as idle and is dropped.
LEAST_PART: Final = 0.001


class AccountShares:
    """Track the slot seconds of each account, exponentially decayed.

    >>> usage = AccountShares()
    >>> usage.charge(10.0, 'till', 2)
    >>> usage.read(10.0)
    {'till': 2.0}
    >>> round(usage.read(15.0)['till'], 2)
    0.74
    >>> usage.read(100.0)
    {}
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self._usage: dict[str, float] = {}
        self._updated_at: float = 0

    def charge(self, now: float, account: str, seconds: float) -> None:
        """Add the seconds that a request is expected to hold its slot."""
        usage = self.read(now)
        if account not in usage and len(usage) >= MOST_ACCOUNTS:
            usage.pop(min(usage, key=usage.__getitem__))
        usage[account] = usage.get(account, 0) + seconds

    def read(self, now: float) -> dict[str, float]:
        """Return the usage of each account, in seconds; no entry means 0."""
        decay = exp(min(0, self._updated_at - now) / MEMORY)
        self._updated_at = max(now, self._updated_at)
        self._usage = {
            account: decay * used
            for account, used in self._usage.items()
            if decay * used >= LEAST_PART
        }
        return self._usage


def is_foreign(plan: RequestPlan) -> bool:
    """Return whether a request has no account and began at another service.

    Calls of running work do: they come from the node of the target that works.

    >>> is_foreign(RequestPlan('fees', 'r', '', True, 1, origin='refunds'))
    True
    >>> is_foreign(RequestPlan('fees', 'r', 'till', True, 1, origin='desk'))
    False
    """
    return not plan.account and plan.origin not in {'', plan.service}
