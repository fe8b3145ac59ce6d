"""A hybrid logical clock: wall time that is consistent with causality.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks
and Consistent Snapshots in Globally Distributed Databases" (2014).
"""

from typing import Final

from msgspec import Struct

LOGICAL_BITS: Final = 16
LOGICAL_LIMIT: Final = 1 << LOGICAL_BITS
# Milliseconds by which a peer's clock may lead; a larger lead is treated as a
# wrong clock and ignored.
MAXIMUM_LEAD: Final = 60000


class Stamp(Struct, frozen=True, order=True):
    """Hold wall time in milliseconds and a counter within the millisecond."""

    physical: int = 0
    logical: int = 0

    def pack(self) -> int:
        """Return one number of 64 bits with the same order.

        >>> Stamp.unpack(Stamp(1700000000000, 3).pack())
        Stamp(physical=1700000000000, logical=3)
        """
        return self.physical << LOGICAL_BITS | self.logical

    @classmethod
    def unpack(cls, number: int) -> 'Stamp':
        """Return the stamp that `pack` encoded as this number."""
        return cls(number >> LOGICAL_BITS, number % LOGICAL_LIMIT)


class HybridClock:
    """Create stamps that increase with each event and received message.

    >>> clock = HybridClock()
    >>> clock.tick(5), clock.tick(4)
    (Stamp(physical=5, logical=0), Stamp(physical=5, logical=1))
    >>> clock.merge(6, Stamp(9, 2))
    Stamp(physical=9, logical=3)
    """

    def __init__(self) -> None:
        """Start before all events."""
        self.newest = Stamp()

    def tick(self, wall: int) -> Stamp:
        """Return the stamp of a local event or of a message to be sent.

        `wall` is the wall clock in milliseconds; it may be set back.
        """
        self.newest = max(Stamp(wall), _increment(self.newest))
        return self.newest

    def merge(self, wall: int, remote: Stamp) -> Stamp:
        """Return the stamp of receiving a message with the stamp `remote`.

        A remote stamp more than `MAXIMUM_LEAD` ahead of the wall clock is
        ignored, so that one wrong clock does not advance those of the fleet.
        """
        if remote.physical - wall > MAXIMUM_LEAD:
            return self.tick(wall)
        newest = max(self.newest, remote)
        self.newest = max(Stamp(wall), _increment(newest))
        return self.newest


def _increment(stamp: Stamp) -> Stamp:
    if stamp.logical + 1 < LOGICAL_LIMIT:
        return Stamp(stamp.physical, stamp.logical + 1)
    return Stamp(stamp.physical + 1)
