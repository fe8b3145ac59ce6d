"""How much of a target's slots each client account has had lately; pure.

This answers an account that asks at all nodes for more than its part: the
gate alone sees all that its target does, so nothing is told to other nodes.
"""

from math import exp
from typing import Final

from hillfield.model import RequestPlan

# Seconds in which the count of what an account has had falls to a third:
# some tens of requests long, and an account that was idle is not ahead of the
# others for longer.
MEMORY: Final = 5.0
# Accounts counted; the one that has had least is forgotten for one more.
MOST_ACCOUNTS: Final = 256
# Seconds of slots below which an account counts as idle and is forgotten.
LEAST_PART: Final = 0.001


class AccountShares:
    """Count the seconds of slots of each account, the latest weighing most.

    >>> shares = AccountShares()
    >>> shares.charge(10.0, 'till', 2)
    >>> shares.read(10.0)
    {'till': 2.0}
    >>> round(shares.read(15.0)['till'], 2)
    0.74
    >>> shares.read(100.0)
    {}
    """

    def __init__(self) -> None:
        """Start without any."""
        self._parts: dict[str, float] = {}
        self._moment: float = 0

    def charge(self, now: float, account: str, seconds: float) -> None:
        """Count a slot that an account takes for about so long."""
        parts = self.read(now)
        if account not in parts and len(parts) >= MOST_ACCOUNTS:
            parts.pop(min(parts, key=parts.__getitem__))
        parts[account] = parts.get(account, 0) + seconds

    def read(self, now: float) -> dict[str, float]:
        """Return what each has had lately; those not named had nothing."""
        kept = exp(min(0, self._moment - now) / MEMORY)
        self._moment = max(now, self._moment)
        self._parts = {
            account: kept * part
            for account, part in self._parts.items()
            if kept * part >= LEAST_PART
        }
        return self._parts


def is_foreign(plan: RequestPlan) -> bool:
    """Tell whether a request is nobody's and began beside another service.

    Calls of running work do: their node is that of the target that works.

    >>> is_foreign(RequestPlan('fees', 'r', '', True, 1, origin='refunds'))
    True
    >>> is_foreign(RequestPlan('fees', 'r', 'till', True, 1, origin='desk'))
    False
    """
    return not plan.account and plan.origin not in {'', plan.service}
