"""Sums over what nodes report of one service; pure."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from hillfield.repeats.bounds import SLOTS, SLOTS_KEPT
from hillfield.repeats.messages import RouteRow, UseRow

# The route under which the requests of client accounts are counted: no target
# has a key of an account, so they need no proof.
ACCOUNTS: Final = ''
# Requests that can't have been calls, over all nodes, before a route counts
# as one of clients, and their least share of its requests: a run that goes on
# after its gate has given it up may call, so a few prove nothing.
LEAST_PROOFS: Final = 5
LEAST_PROOF_SHARE: Final = 0.005


@dataclass(slots=True)
class _RouteSum:
    """Sum up one route's requests by slots."""

    proofs: int = 0
    requests: list[int] = field(
        default_factory=lambda: [0 for _ in range(SLOTS_KEPT)]
    )
    repeated: list[int] = field(
        default_factory=lambda: [0 for _ in range(SLOTS)]
    )

    def add(self, row: RouteRow, sign: int) -> None:
        """Add a node's row, or take it off (-1)."""
        self.proofs += sign * row.proofs
        _add(self.requests, row.requests, sign)
        _add(self.repeated, row.repeated, sign)

    def is_proven(self) -> bool:
        """Tell whether clients send these requests."""
        least = max(LEAST_PROOFS, LEAST_PROOF_SHARE * sum(self.requests))
        return self.proofs >= least


class UseSums:
    """Sum up what all nodes have reported of one service.

    >>> sums = UseSums()
    >>> row = UseRow('till', 1, (2, 1), 4, 0, 0, (RouteRow('', 0, (5, 7)),))
    >>> sums.add(row)
    >>> sums.held, sums.spent[:3], sums.list_requests()[:3]
    (4, [2, 1, 0], [5, 7, 0])
    >>> call = RouteRow('check', 0, (9,), (3,))
    >>> sums.add(UseRow('till', 1, (), 0, 0, 0, (call,)))
    >>> sums.list_spent()[:3], sums.list_requests()[:3]
    ([5, 1, 0], [5, 7, 0])
    >>> sums.add(row, -1)
    >>> sums.held, sum(sums.spent)
    (0, 0)
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.held = 0
        self.spent = [0 for _ in range(SLOTS)]
        self._routes: dict[str, _RouteSum] = {}

    def add(self, row: UseRow, sign: int = 1) -> None:
        """Add a node's row, or take it off (-1)."""
        self.held += sign * row.held
        _add(self.spent, row.spent, sign)
        for route in row.routes:
            found = self._routes.setdefault(route.route, _RouteSum())
            found.add(route, sign)

    def list_requests(self) -> list[int]:
        """Return the requests of clients by slots, the newest first."""
        total = [0 for _ in range(SLOTS_KEPT)]
        for name, route in self._routes.items():
            if name == ACCOUNTS or route.is_proven():
                _add(total, route.requests, 1)
        return total

    def list_spent(self) -> list[int]:
        """Return the repeats by slots, those of calls among them."""
        total = list(self.spent)
        for name, route in self._routes.items():
            if name != ACCOUNTS and not route.is_proven():
                _add(total, route.repeated, 1)
        return total


def _add(total: list[int], numbers: Sequence[int], sign: int) -> None:
    # Rows come from other processes: what is too long is left out.
    for place, number in enumerate(numbers[: len(total)]):
        total[place] += sign * number
