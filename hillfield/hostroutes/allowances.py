"""What the fleet's bounds leave to one node."""

from typing import Final

from hillfield.model import ServicePolicy

# Of the fleet's bound of repeats, so that calls made by repeated runs, which
# count as repeats too, have room.
BUDGET_PART: Final = 0.8
# Repeats that one node may have saved up. The fleet's are 56 over 21 hosts,
# 64 over 31 and 204 over 99 (site files), so this is under three quarters.
BURST: Final = 1.5
# Second attempts beside a first one, per answered request. The fleet's bound
# of repeats holds them and all others, calls not counted among the requests:
# calls are five in six of what a service of 30 hosts gets.
HEDGE_PART: Final = 0.08
# Requests that may wait at one node: 2 s of work of a site's busiest node.
QUEUE_LIMIT: Final = 64

# Seconds that requests wait at a node which has just started and has not
# heard of any target yet: links and a heartbeat take about so long.
PATIENCE: Final = 1.0


def make_policy(retry_ratio: float, floor: float) -> ServicePolicy:
    """Return how a node treats all services.

    `retry_ratio` is how many repeats the whole fleet may make per request,
    `floor` the least share of a service's sound targets to be used.
    """
    return ServicePolicy(
        '',
        floor=floor,
        retry_budget=retry_ratio * BUDGET_PART,
        hedge_budget=HEDGE_PART,
        queue_limit=QUEUE_LIMIT,
        account_share=1,
        retry_burst=BURST,
        shed_burst=BURST,
        shed_cost=1,
        patience=PATIENCE,
    )
