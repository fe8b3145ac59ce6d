"""Which requests go first, and how long one waits for a slot."""

from typing import Final

from hillfield.routing.records import RequestRecord
from hillfield.routing.service import Service

# Times in which an answer is worth most after which a wait has been in vain:
# late is bearable, so that a short crowd is waited out.
STALE_AFTER: Final = 1.5


def is_quick(service: Service, record: RequestRecord) -> bool:
    """Tell whether a request is short beside others to its service."""
    mean = service.selector.latency.mean
    return service.durations.is_quick(record.arrival.plan, mean)


def is_stale(service: Service, now: float, record: RequestRecord) -> bool:
    """Tell whether a request that waits has waited long enough.

    This answers a crowd: what can no longer come in the time in which it is
    worth most would take the slot of one that can, or wait to its deadline in
    vain; its caller is told when to come back instead. Quick ones wait on:
    running work waits for them.
    """
    plan = record.arrival.plan
    if not plan.aim or is_quick(service, record):
        return False
    usual = service.durations.find(plan).find_quantile(0)
    return record.find_spent(now) + usual > STALE_AFTER * plan.aim
