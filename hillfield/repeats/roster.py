"""Who may use the fleet's bound, as the counting node sees it; pure."""

from collections.abc import Mapping

from msgspec import Struct


class Roster(Struct, frozen=True):
    """Hold who is heard, and since when others are silent (seconds).

    Those that said that they end are in neither.

    >>> Roster(frozenset('ab'), {'c': 2.0}).size
    3
    """

    alive: frozenset[str]
    silent: Mapping[str, float]

    @property
    def size(self) -> int:
        """Return how many nodes may use the bound."""
        return max(1, len(self.alive) + len(self.silent))

    def list_members(self) -> frozenset[str]:
        """Return who may use the bound."""
        return self.alive | self.silent.keys()
