"""How long a request may wait at a gate for a slot of its target."""

from typing import Final

from hillfield.gate.queue import QueuedRequest
from hillfield.routing.records import RequestRecord

# Seconds that a request may wait for a slot here, and the share of its
# remaining time.
MAXIMUM_WAIT: Final = 0.25
WAIT_SHARE: Final = 0.2
# The share of its remaining time that a request may wait here if its answer is
# expected within the time in which it is worth most: a request that is
# declined needs the rest to be tried elsewhere.
MAXIMUM_WAIT_SHARE: Final = 0.5


def compute_wait_limit(
    now: float,
    record: RequestRecord,
    duration: float,
) -> float:
    """Return the seconds that a request may wait for a slot here.

    `duration` is how long the requests of its route take, in seconds.
    """
    left = record.arrival.expires - now
    limit = min(MAXIMUM_WAIT, WAIT_SHARE * left)
    plan = record.arrival.plan
    if not plan.aim:
        return limit
    slack = plan.aim - plan.spent - duration
    return max(limit, min(slack, MAXIMUM_WAIT_SHARE * left))


def describe_wait(now: float, queued: QueuedRequest) -> str:
    """Return how long a request has waited in vain, and what it needs."""
    waited = now - queued.record.queued_at
    left = queued.record.arrival.expires - now
    needs = queued.rank.cost
    waited_text = f'waited {waited:.3f} s'
    return f'{waited_text}, needs {needs:.3f} of {left:.3f} s left'
