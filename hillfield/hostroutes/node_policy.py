"""The service policy of one node, derived from the bounds of the fleet."""

from typing import Final

from hillfield.model import ServicePolicy

# Share of the fleet's retry ratio that one node may use of its own requests.
RETRY_BUDGET_SHARE: Final = 0.8
# Token bucket of one node's repeats, shared by retries and hedges: its size and
# the tokens added per second. It bounds what one node asks of others while
# nothing is answered. The nodes' budgets add up to more than the fleet's bound,
# which the gates keep.
RETRY_BURST: Final = 2.0
RETRY_RATE: Final = 0.1
# Seconds of answered requests for which repeats are saved on top: none, since
# all nodes may use what they saved at the same time.
RETRY_SAVING_SECONDS: Final[float] = 0
# Requests that may wait at one node: 2 s of work of the busiest node.
QUEUE_LIMIT: Final = 64

# Seconds that requests wait at a started node that knows no target yet: links
# and a heartbeat take about this long.
FIRST_REPORT_WAIT: Final = 1.0


def make_policy(retry_ratio: float, floor: float) -> ServicePolicy:
    """Return the policy of a node for all services.

    `retry_ratio` is how many repeats the whole fleet may send per request,
    `floor` the least share of a service's healthy targets to be kept in use.
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
