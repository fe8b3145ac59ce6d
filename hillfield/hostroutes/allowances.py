"""What the fleet's bounds leave to one node."""

from typing import Final

from hillfield.model import ServicePolicy

# Of the fleet's bound of repeats, so that calls made by repeated runs, which
# count as repeats too, have room.
RETRY_BUDGET_SHARE: Final = 0.8
# Repeats that one node may have saved up, and those that each second adds:
# retries and second attempts beside a first one share them. In the 10 s in
# which the fleet's are counted, 30 nodes whose requests all hang send three
# each, and none once the gates hold work back; the fleet may send 60 and a
# fifth of its requests (site files: 56 over 21 hosts, 64 over 31, 204 over 99).
# Modelled, the most that a service gets in 10 s while targets hang is 81.
RETRY_BURST: Final = 2.0
RETRY_RATE: Final = 0.1
# Seconds of answered requests whose repeats one node may save up beyond that:
# none, since all nodes may spend what they saved at the same moment.
RETRY_SAVING_SECONDS: Final[float] = 0
# Requests that may wait at one node: 2 s of work of a site's busiest node.
QUEUE_LIMIT: Final = 64

# Seconds that requests wait at a node which has just started and has not
# heard of any target yet: links and a heartbeat take about so long.
FIRST_REPORT_WAIT: Final = 1.0


def make_policy(retry_ratio: float, floor: float) -> ServicePolicy:
    """Return how a node treats all services.

    `retry_ratio` is how many repeats the whole fleet may make per request,
    `floor` the least share of a service's sound targets to be used.
    """
    return ServicePolicy(
        '',
        floor=floor,
        retry_budget=retry_ratio * RETRY_BUDGET_SHARE,
        hedge_budget=None,
        retry_rate=RETRY_RATE,
        queue_limit=QUEUE_LIMIT,
        account_share=1,
        retry_burst=RETRY_BURST,
        retry_saving=RETRY_SAVING_SECONDS,
        shed_burst=RETRY_BURST,
        shed_cost=1,
        patience=FIRST_REPORT_WAIT,
    )
