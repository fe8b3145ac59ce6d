"""Queue of requests that wait for a slot, fair between client accounts."""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Final

from hillfield.routing.queueorder import QueueOrder
from hillfield.routing.records import RequestRecord

# Largest share of the deadline that a first attempt is assumed to take.
FIRST_DEADLINE_SHARE: Final = 0.9


class FairQueue:
    """Serve accounts in round robin, the requests of each by queue order.

    Requests of one account with equal queue order are served first in, first
    out, except for quick ones: those are served last in, first out, since the
    newest has most time left. Each request costs one unit, which reduces
    deficit round robin (Shreedhar and Varghese, 1995) to plain round robin.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queues: OrderedDict[str, list[RequestRecord]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._count

    def __iter__(self) -> Iterator[RequestRecord]:
        """Yield the waiting requests; do not change the queue meanwhile."""
        return chain.from_iterable(self._queues.values())

    def count_accounts(self) -> int:
        """Return how many accounts have waiting requests."""
        return len(self._queues)

    def count_waiting(self, account: str) -> int:
        """Return the number of the account's waiting requests."""
        return len(self._queues.get(account, ()))

    def push(self, record: RequestRecord) -> None:
        """Add a request to the queue of its account."""
        account = record.arrival.plan.account
        requests = self._queues.setdefault(account, [])
        bisect = bisect_right if record.queue_order.long else bisect_left
        requests.insert(
            bisect(requests, record.queue_order, key=get_queue_order), record
        )
        self._count += 1

    def peek(self) -> RequestRecord:
        """Return the next request without removing it."""
        return next(iter(self._queues.values()))[0]

    def pop(self) -> RequestRecord:
        """Remove and return the first request of the next account."""
        account, requests = next(iter(self._queues.items()))
        record = requests.pop(0)
        self._count -= 1
        if requests:
            self._queues.move_to_end(account)
        else:
            self._queues.pop(account)
        return record

    def remove(self, record: RequestRecord) -> None:
        """Remove a request, if it is queued."""
        account = record.arrival.plan.account
        requests = self._queues.get(account)
        if requests is None or record not in requests:
            return
        requests.remove(record)
        self._count -= 1
        if not requests:
            self._queues.pop(account)

    def longest_length(self) -> int:
        """Return the length of the longest queue of an account."""
        return max(map(len, self._queues.values()), default=0)

    def evict(self) -> RequestRecord:
        """Remove and return the last request of the longest queue."""
        requests = max(self._queues.values(), key=len)
        record = requests[-1]
        self.remove(record)
        return record

    def remove_matching(
        self,
        is_over: Callable[[RequestRecord], bool],
    ) -> tuple[RequestRecord, ...]:
        """Remove and return the requests for which `is_over` is true."""
        over = tuple(
            record
            for requests in self._queues.values()
            for record in requests
            if is_over(record)
        )
        for record in over:
            self.remove(record)
        return over


def get_queue_order(record: RequestRecord) -> QueueOrder:
    """Return the queue order of a request."""
    return record.queue_order


def is_late(start: float, need: float, record: RequestRecord) -> bool:
    """Return whether a first attempt at `start` would miss the deadline.

    A request sent too late uses a slot in vain, so the estimated duration
    counts up to nearly the whole deadline.
    """
    bound = record.bound_duration(need, FIRST_DEADLINE_SHARE)
    return start + bound >= record.arrival.expires
