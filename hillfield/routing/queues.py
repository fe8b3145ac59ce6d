"""Requests that wait for a slot, fair between client accounts."""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Final

from hillfield.routing.records import RequestRecord
from hillfield.routing.queueorder import QueueOrder

FIRST_DEADLINE_SHARE: Final = 0.9


class FairQueue:
    """Serve accounts one after the other, each by the turns of its requests.

    Those of one account whose turns are alike go in order of arrival, but for
    quick ones: there the newest goes first, since it has most time left.
    Requests cost one unit each, so that deficit round robin (Shreedhar and
    Varghese, 1995) comes down to plain turns.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._queues: OrderedDict[str, list[RequestRecord]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._length

    def __iter__(self) -> Iterator[RequestRecord]:
        """Yield the requests that wait; none may be taken out meanwhile."""
        return chain.from_iterable(self._queues.values())

    def count_accounts(self) -> int:
        """Return how many accounts wait."""
        return len(self._queues)

    def count_waiting(self, account: str) -> int:
        """Return how many requests of the account wait."""
        return len(self._queues.get(account, ()))

    def push(self, record: RequestRecord) -> None:
        """Let a request wait among those of its account."""
        account = record.arrival.plan.account
        requests = self._queues.setdefault(account, [])
        place = bisect_right if record.queue_order.long else bisect_left
        requests.insert(
            place(requests, record.queue_order, key=get_queue_order), record
        )
        self._length += 1

    def peek(self) -> RequestRecord:
        """Return the request whose turn it is."""
        return next(iter(self._queues.values()))[0]

    def pop(self) -> RequestRecord:
        """Take the first request of the account whose turn it is."""
        account, requests = next(iter(self._queues.items()))
        record = requests.pop(0)
        self._length -= 1
        if requests:
            self._queues.move_to_end(account)
        else:
            self._queues.pop(account)
        return record

    def remove(self, record: RequestRecord) -> None:
        """Take a request out, wherever it waits."""
        account = record.arrival.plan.account
        requests = self._queues.get(account)
        if requests is None or record not in requests:
            return
        requests.remove(record)
        self._length -= 1
        if not requests:
            self._queues.pop(account)

    def longest_length(self) -> int:
        """Return how many wait of the account with the most waiting."""
        return max(map(len, self._queues.values()), default=0)

    def evict(self) -> RequestRecord:
        """Take the last in turn of the account with the most waiting."""
        requests = max(self._queues.values(), key=len)
        record = requests[-1]
        self.remove(record)
        return record

    def remove_matching(
        self,
        is_over: Callable[[RequestRecord], bool],
    ) -> tuple[RequestRecord, ...]:
        """Take out the requests whose wait is over."""
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
    """Return when a request goes among those that wait."""
    return record.queue_order


def is_late(start: float, need: float, record: RequestRecord) -> bool:
    """Tell whether a first attempt at this time would not end in time.

    What is sent too late costs a slot and brings nothing, so that the need
    counts up to nearly the whole deadline.
    """
    bound = record.bound_duration(need, FIRST_DEADLINE_SHARE)
    return start + bound >= record.arrival.expires
