"""Which requests go first, and how long one waits for a slot."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from hillfield.routing.records import RequestRecord
from hillfield.routing.service import ServiceState
from hillfield.routing.queueorder import QueueOrder

# Times in which an answer is worth most after which a wait has been in vain:
# late is bearable, so that a short crowd is waited out.
STALE_AIM_FACTOR: Final = 1.5


def is_quick(service: ServiceState, record: RequestRecord) -> bool:
    """Tell whether a request is short beside others to its service."""
    mean = service.selector.latency.mean
    return service.durations.is_quick(record.arrival.plan, mean)


def compute_queue_order(
    service: ServiceState, record: RequestRecord
) -> QueueOrder:
    """Return when a request goes among those that wait.

    This answers a crowd: while there are fewer slots than requests, those
    that hold up others least go first, then those whose routes rank highest.
    """
    return QueueOrder(
        long=not is_quick(service, record),
        priority=record.arrival.plan.priority,
    )


def precedes_waiting(service: ServiceState, order: QueueOrder) -> bool:
    """Tell whether a newcomer may look for a slot before those that wait."""
    if not (service.count_waiting() and order.long):
        return True
    return all(order < record.queue_order for record in _list_waiting(service))


def count_ahead(service: ServiceState, order: QueueOrder) -> int:
    """Return how many wait that go before a newcomer with this turn."""
    waiting = _list_waiting(service)
    return sum(record.queue_order <= order for record in waiting)


def is_stale(service: ServiceState, now: float, record: RequestRecord) -> bool:
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
    return record.compute_elapsed(now) + usual > STALE_AIM_FACTOR * plan.aim


def _list_waiting(service: ServiceState) -> Iterator[RequestRecord]:
    return chain(service.waiting_retries, service.queue)
