"""How long the requests of each route take."""

from collections import OrderedDict
from typing import Final

from hillfield.routing.loads import Latency

ROUTES_KEPT: Final = 512


class Durations:
    """Keep the latency of each route, the least recent forgotten.

    Routes to one target differ in length by more than sick targets do.

    >>> durations = Durations()
    >>> durations.note(10.0, 'lookup', 0.5)
    >>> durations.find('lookup'), durations.find('booking')
    (0.5, 0)
    """

    def __init__(self) -> None:
        """Start without any."""
        self._routes: OrderedDict[str, Latency] = OrderedDict()

    def note(self, now: float, route: str, seconds: float) -> None:
        """Take how long a request of this route took."""
        latency = self._routes.get(route)
        if latency is None:
            latency = Latency()
            self._routes[route] = latency
            if len(self._routes) > ROUTES_KEPT:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        latency.note(now, seconds)

    def find(self, route: str) -> float:
        """Return seconds that few requests exceed; 0: none was measured."""
        latency = self._routes.get(route)
        return 0 if latency is None else latency.bound()
