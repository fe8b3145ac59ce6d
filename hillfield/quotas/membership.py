"""Which node counts for an account, and what part of a limit is its to give."""

from collections.abc import Callable
from functools import partial
from typing import Final

from xxhash import xxh3_64_intdigest

# Seconds for which a node that has fallen silent without saying goodbye may
# still let requests through: a cut rarely lasts longer, and none for which
# all callers stay.
SILENCE_HELD: Final = 15.0


class Membership:
    """Follow who is heard.

    >>> members = Membership()
    >>> members.follow(0, frozenset(('a', 'b', 'c')), {'c'}.__contains__)
    >>> members.follow(1, frozenset(('a',)), {'c'}.__contains__)
    >>> members.part, members.find_counter('till')
    (0.5, 'a')
    >>> members.follow(20, frozenset(('a',)), {'c'}.__contains__)
    >>> members.part
    1.0
    """

    def __init__(self) -> None:
        """Start knowing nobody."""
        self._alive: frozenset[str] = frozenset()
        self._silent: dict[str, float] = {}
        self._counters: dict[str, str] = {}

    def follow(
        self,
        now: float,
        alive: frozenset[str],
        has_left: Callable[[str], bool],
    ) -> None:
        """Take who is heard now; `has_left` tells who said that it ends."""
        if alive != self._alive:
            for lost in self._alive - alive:
                if not has_left(lost):
                    self._silent[lost] = now + SILENCE_HELD
            self._alive = alive
            self._counters.clear()
        if self._silent:
            self._silent = {
                name: until
                for name, until in self._silent.items()
                if until > now and name not in alive
            }

    @property
    def part(self) -> float:
        """Return the part of each limit that those who are heard may use."""
        heard = len(self._alive)
        return heard / (heard + len(self._silent)) if heard else 1.0

    def find_counter(self, account: str) -> str:
        """Return the node that counts an account's requests.

        The one of the least hash: when a node comes or goes, only its own
        accounts move (rendezvous hashing).
        """
        found = self._counters.get(account)
        if found is None:
            weigh = partial(_weigh, account)
            found = min(self._alive, key=weigh, default='')
            self._counters[account] = found
        return found


def _weigh(account: str, node: str) -> tuple[int, str]:
    """Return a node's weight for an account; ties go by name."""
    return xxh3_64_intdigest(f'{node} {account}'.encode()), node
