"""Memory budget for the bytes of requests and answers that a node holds."""

from hillfield.holding.budgets import (
    RETRY_AFTER,
    ByteBudget,
    ByteLimits,
    build_budget,
    compute_limits,
    lift_target_limit,
)
from hillfield.holding.pools import BytePool
from hillfield.holding.reservations import ByteReservation

__all__ = (
    'RETRY_AFTER',
    'ByteBudget',
    'ByteLimits',
    'BytePool',
    'ByteReservation',
    'build_budget',
    'compute_limits',
    'lift_target_limit',
)
