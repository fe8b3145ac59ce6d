"""Memory budget for the bytes of requests and answers that a node holds."""

from hillfield.holding.budgets import (
    COME_BACK,
    ByteBudget,
    ByteLimits,
    make_budget,
    make_limits,
    share_with_callers,
)
from hillfield.holding.pools import BytePool
from hillfield.holding.reservations import Holder

__all__ = (
    'COME_BACK',
    'ByteBudget',
    'ByteLimits',
    'BytePool',
    'Holder',
    'make_budget',
    'make_limits',
    'share_with_callers',
)
