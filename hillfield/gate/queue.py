"""Requests that wait at the gate for a slot of its target."""

from collections.abc import Mapping

from msgspec import Struct

from hillfield.gate.order import (
    Rank,
    compute_order,
    list_outranked,
    select_displaced,
)
from hillfield.routing.records import RequestRecord


class QueuedRequest(Struct, frozen=True):
    """Hold a waiting request, its rank, and when its wait ends (seconds)."""

    rank: Rank
    wait_until: float
    record: RequestRecord


class GateQueue:
    """Order waiting requests by rank, equal ones by arrival.

    `usage` holds the seconds of slots that each account has used lately.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: list[QueuedRequest] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def push(
        self,
        record: RequestRecord,
        rank: Rank,
        wait_until: float,
    ) -> None:
        """Add a request that may wait until this moment."""
        self._waiting.append(QueuedRequest(rank, wait_until, record))

    def pop(self, usage: Mapping[str, float]) -> RequestRecord:
        """Remove and return the request that goes first."""
        first = min(compute_order(self._list_ranks(), usage))
        return self._waiting.pop(first.number).record

    def count_ahead(self, rank: Rank, usage: Mapping[str, float]) -> int:
        """Return how many requests go before one more of this rank."""
        ranks = (*self._list_ranks(), rank)
        outranked = list_outranked(ranks, compute_order(ranks, usage))
        return len(self._waiting) - len(outranked)

    def select_displaced(
        self,
        usage: Mapping[str, float],
    ) -> tuple[int, QueuedRequest] | None:
        """Return the request that the newest displaces, and how many precede.

        None: the newest goes before no request that may be declined for it.
        """
        ranks = self._list_ranks()
        orders = compute_order(ranks, usage)
        displaced = select_displaced(ranks, orders)
        if displaced is None:
            return None
        ahead = sum(order < orders[displaced] for order in orders)
        return ahead, self._waiting[displaced]

    def remove(self, record: RequestRecord) -> None:
        """Remove a request from the queue."""
        self._waiting = [
            queued for queued in self._waiting if queued.record is not record
        ]

    def pop_all(self) -> tuple[RequestRecord, ...]:
        """Remove and return all requests."""
        records = tuple(queued.record for queued in self._waiting)
        self._waiting.clear()
        return records

    def pop_expired(self, now: float) -> tuple[QueuedRequest, ...]:
        """Remove and return the requests whose wait or deadline is over.

        Each is measured by the duration of its own route: measured by that of
        other, longer requests, a short one with a short deadline could never
        wait.
        """
        expired = tuple(
            queued for queued in self._waiting if _is_expired(now, queued)
        )
        for queued in expired:
            self.remove(queued.record)
        return expired

    def _list_ranks(self) -> tuple[Rank, ...]:
        return tuple(queued.rank for queued in self._waiting)


def _is_expired(now: float, queued: QueuedRequest) -> bool:
    expected_end = now + queued.rank.cost
    return (
        now > queued.wait_until or expected_end > queued.record.arrival.expires
    )
