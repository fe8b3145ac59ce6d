"""Which node counts an account, and what fraction of a limit it may grant."""

from collections.abc import Callable
from functools import partial
from typing import Final

from xxhash import xxh3_64_intdigest

# Seconds for which a node that became unreachable without announcing its end
# may still let requests through: a partition rarely lasts longer, and never so
# long that all callers stay.
SILENCE_SECONDS: Final = 15.0


class Membership:
    """Track which nodes are reachable.

    >>> members = Membership()
    >>> members.update(0, frozenset(('a', 'b', 'c')), {'c'}.__contains__)
    >>> members.update(1, frozenset(('a',)), {'c'}.__contains__)
    >>> members.fraction, members.select_counter('till')
    (0.5, 'a')
    >>> members.update(20, frozenset(('a',)), {'c'}.__contains__)
    >>> members.fraction
    1.0
    """

    def __init__(self) -> None:
        """Start without nodes."""
        self._reachable: frozenset[str] = frozenset()
        self._silent: dict[str, float] = {}
        self._counters: dict[str, str] = {}

    def update(
        self,
        now: float,
        alive: frozenset[str],
        has_left: Callable[[str], bool],
    ) -> None:
        """Update who is reachable; `has_left`: the node announced its end."""
        if alive != self._reachable:
            for lost in self._reachable - alive:
                if not has_left(lost):
                    self._silent[lost] = now + SILENCE_SECONDS
            self._reachable = alive
            self._counters.clear()
        if self._silent:
            self._silent = {
                name: until
                for name, until in self._silent.items()
                if until > now and name not in alive
            }

    @property
    def fraction(self) -> float:
        """Return the fraction of each limit that reachable nodes may use."""
        reachable = len(self._reachable)
        return reachable / (reachable + len(self._silent)) if reachable else 1.0

    def select_counter(self, account: str) -> str:
        """Return the node that counts an account's requests.

        It is the node with the least hash, so that only its own accounts move
        when a node comes or goes (rendezvous hashing).
        """
        found = self._counters.get(account)
        if found is None:
            by_hash = partial(_hash_node, account)
            found = min(self._reachable, key=by_hash, default='')
            self._counters[account] = found
        return found


def _hash_node(account: str, node: str) -> tuple[int, str]:
    """Return a node's hash for an account; ties are broken by name."""
    return xxh3_64_intdigest(f'{node} {account}'.encode()), node
