"""Fault injection on links, for tests."""

from math import inf

from msgspec import Struct

from hillfield.model import Address


class PlannedFault(Struct, frozen=True):
    """Fault of the path to a peer, or to all peers if `peer` is None.

    `begin` and `end` are seconds after the links were opened. Messages are
    delayed by `delay` seconds, or dropped if that is 0.
    """

    peer: Address | None = None
    begin: float = 0
    end: float = inf
    delay: float = 0


class LinkFaults:
    """Decide which messages are dropped or delayed; by default none.

    Only sending to a peer fails, not receiving from it: a one-way partition.
    """

    def __init__(self, planned: tuple[PlannedFault, ...] = ()) -> None:
        """Inject the planned faults."""
        self._planned = planned
        self._cut: set[Address] = set()

    def cut(self, peer: Address) -> None:
        """Drop all messages to a peer from now on."""
        self._cut.add(peer)

    def heal(self) -> None:
        """Remove all faults, also the planned ones."""
        self._cut.clear()
        self._planned = ()

    def find_delay(self, peer: Address, elapsed: float) -> float:
        """Return the seconds to delay a message; infinity to drop it.

        >>> faults = LinkFaults((PlannedFault(begin=5, end=9, delay=2),))
        >>> peer = Address('127.0.0.1', 80)
        >>> faults.find_delay(peer, 1), faults.find_delay(peer, 6)
        (0, 2)
        """
        if peer in self._cut:
            return inf
        delays = [
            fault.delay or inf
            for fault in self._planned
            if fault.begin <= elapsed < fault.end and fault.peer in {None, peer}
        ]
        return max(delays, default=0)
