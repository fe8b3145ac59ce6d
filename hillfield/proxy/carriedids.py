"""The ids of the requests that a connection to a target has carried; pure."""


class CarriedIds:
    """Remember ids until their requests expire.

    A target's answer names its request by the id alone, and a second copy of
    an answer may come at any time on the same connection. Only an id that was
    written once to a connection identifies an answer there. A request is sent
    again, under the same id, until it expires at most.

    >>> carried = CarriedIds()
    >>> carried.add(10.0, 'a', expires=12.0)
    >>> carried.holds(11.0, 'a'), carried.holds(11.0, 'b')
    (True, False)
    >>> carried.add(13.0, 'b', expires=15.0)
    >>> carried.holds(13.0, 'a'), len(carried)
    (False, 1)
    """

    def __init__(self) -> None:
        """Start without ids."""
        self._expiries: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many ids are remembered."""
        return len(self._expiries)

    def add(self, now: float, request: str, expires: float) -> None:
        """Remember an id; times are in monotonic seconds."""
        self._drop_expired(now)
        self._expiries[request] = expires

    def holds(self, now: float, request: str) -> bool:
        """Return whether the connection has carried an id that may return."""
        return self._expiries.get(request, float('-inf')) >= now

    def _drop_expired(self, now: float) -> None:
        """Drop the oldest ids, up to the first whose request may return."""
        while self._expiries:
            oldest = next(iter(self._expiries))
            if self._expiries[oldest] >= now:
                return
            self._expiries.pop(oldest)
