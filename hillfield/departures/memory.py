"""Remember the departures that nodes have acknowledged; pure."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from hillfield.departures.messages import Departure

# Seconds for which a departure is remembered, here and in the store: longer
# than a target goes on serving after it, or than a heartbeat of it takes to
# arrive.
DEPARTURE_SECONDS: Final = 600.0
# Departures remembered, the latest ones.
MAXIMUM_DEPARTURES: Final = 4096


class RememberedDeparture(Struct, frozen=True):
    """Hold a departure and when it was told, in monotonic seconds."""

    departure: Departure
    told_at: float


class DepartureMemory:
    """Remember departures by host and name of the target.

    >>> memory = DepartureMemory()
    >>> memory.add(1.0, 'host-1', [Departure('i-1', 50)])
    >>> memory.recall(2.0, 'host-1')
    (Departure(name='i-1', born=50),)
    >>> memory.recall(2.0, 'host-2'), memory.recall(700.0, 'host-1')
    ((), ())
    """

    def __init__(self) -> None:
        """Start without any."""
        self._rows: OrderedDict[tuple[str, str], RememberedDeparture] = (
            OrderedDict()
        )

    def add(
        self,
        now: float,
        host: str,
        departures: Iterable[Departure],
    ) -> None:
        """Remember departures; of two with one name the later start counts."""
        for departure in departures:
            key = (host, departure.name)
            known = self._rows.get(key)
            if known is None or known.departure.born <= departure.born:
                self._rows[key] = RememberedDeparture(departure, now)
                self._rows.move_to_end(key)
        while len(self._rows) > MAXIMUM_DEPARTURES:
            self._rows.popitem(last=False)

    def recall(self, now: float, host: str) -> tuple[Departure, ...]:
        """Return the departures at a host; forget all that are old."""
        self._forget(now - DEPARTURE_SECONDS)
        return tuple(
            row.departure
            for (named, _), row in self._rows.items()
            if named == host
        )

    def _forget(self, oldest: float) -> None:
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if row.told_at >= oldest:
                return
            self._rows.pop(key)
