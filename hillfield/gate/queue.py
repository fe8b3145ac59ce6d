"""Requests that wait at the gate for a slot of its target."""

from collections.abc import Mapping

from msgspec import Struct

from hillfield.gate.order import Rank, arrange, find_last, find_outranked
from hillfield.routing.records import RequestRecord


class Place(Struct, frozen=True):
    """Say who waits, with which rank, and until when at most (seconds)."""

    rank: Rank
    until: float
    record: RequestRecord


class GateQueue:
    """Let the least rank go first, those alike in order of arrival.

    `parts` are the seconds of slots that each account has had lately.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._places: list[Place] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._places)

    def push(
        self,
        record: RequestRecord,
        rank: Rank,
        until: float,
    ) -> None:
        """Let a request wait until this moment."""
        self._places.append(Place(rank, until, record))

    def pop(self, parts: Mapping[str, float]) -> RequestRecord:
        """Take the request whose turn it is."""
        first = min(arrange(self._list_ranks(), parts))
        return self._places.pop(first.number).record

    def count_ahead(self, rank: Rank, parts: Mapping[str, float]) -> int:
        """Return how many go before one more of this rank."""
        ranks = (*self._list_ranks(), rank)
        outranked = find_outranked(ranks, arrange(ranks, parts))
        return len(self._places) - len(outranked)

    def find_last(
        self,
        parts: Mapping[str, float],
    ) -> tuple[int, Place] | None:
        """Return who would make way for the newest, and how many go before.

        None: the newest goes before nobody that may be declined for it.
        """
        ranks = self._list_ranks()
        turns = arrange(ranks, parts)
        last = find_last(ranks, turns)
        if last is None:
            return None
        ahead = sum(turn < turns[last] for turn in turns)
        return ahead, self._places[last]

    def remove(self, record: RequestRecord) -> None:
        """Take a request out, wherever it waits."""
        self._places = [
            place for place in self._places if place.record is not record
        ]

    def take_all(self) -> tuple[RequestRecord, ...]:
        """Empty the queue."""
        records = tuple(place.record for place in self._places)
        self._places.clear()
        return records

    def take_late(self, now: float) -> tuple[Place, ...]:
        """Take out those whose wait is over, or that would expire.

        Each is measured by how long its own route takes: where others take
        long, what is short and has little time could else never wait.
        """
        late = tuple(place for place in self._places if _is_late(now, place))
        for place in late:
            self.remove(place.record)
        return late

    def _list_ranks(self) -> tuple[Rank, ...]:
        return tuple(place.rank for place in self._places)


def _is_late(now: float, place: Place) -> bool:
    ends = now + place.rank.cost
    return now > place.until or ends > place.record.arrival.expires
