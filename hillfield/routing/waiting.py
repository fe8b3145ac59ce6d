"""Order of waiting requests, and how long one may wait for a slot."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from hillfield.routing.queueorder import QueueOrder
from hillfield.routing.records import RequestRecord
from hillfield.routing.service import ServiceState

# Multiple of the latency objective (`aim`) within which an answer is still
# worth a wait: more than 1, so that requests wait through a short overload.
STALE_AIM_FACTOR: Final = 1.5


def is_quick(service: ServiceState, record: RequestRecord) -> bool:
    """Return whether a request is short compared to the service's mean."""
    mean = service.selector.latency.mean
    return service.durations.is_quick(record.arrival.plan, mean)


def compute_queue_order(
    service: ServiceState, record: RequestRecord
) -> QueueOrder:
    """Return the order of a request among those that wait.

    Under overload, requests that occupy a slot for the shortest time are served
    first, then those whose routes have the highest priority.
    """
    return QueueOrder(
        long=not is_quick(service, record),
        priority=record.arrival.plan.priority,
    )


def precedes_waiting(service: ServiceState, order: QueueOrder) -> bool:
    """Return whether a new request may take a slot before all waiting ones."""
    if not (service.count_waiting() and order.long):
        return True
    return all(order < record.queue_order for record in _list_waiting(service))


def count_ahead(service: ServiceState, order: QueueOrder) -> int:
    """Return how many waiting requests precede a new one of this order."""
    waiting = _list_waiting(service)
    return sum(record.queue_order <= order for record in waiting)


def is_stale(service: ServiceState, now: float, record: RequestRecord) -> bool:
    """Return whether a waiting request should be refused as too late.

    Under overload, a request that can't be answered within a multiple of its
    latency objective would take the slot of one that can, or wait in vain until
    its deadline; instead its caller learns when to retry. Quick requests keep
    waiting, since running requests depend on them.
    """
    plan = record.arrival.plan
    if not plan.aim or is_quick(service, record):
        return False
    usual = service.durations.find(plan).find_quantile(0)
    return record.compute_elapsed(now) + usual > STALE_AIM_FACTOR * plan.aim


def _list_waiting(service: ServiceState) -> Iterator[RequestRecord]:
    return chain(service.waiting_retries, service.queue)
