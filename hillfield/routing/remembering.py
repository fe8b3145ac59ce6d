"""What this node was told that targets say of themselves."""

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from hillfield.model import Address, LifeNotice

# Seconds for which it is told on. A target that leaves serves on for seconds,
# at times many; a limit counts at a gate that has just started until its first
# answer, so an old one does no harm.
KEPT: Final = 600.0
# Addresses of one service that are remembered, the latest told.
MOST_KEPT: Final = 512


class _Told(Struct, frozen=True):
    """Hold a notice, and when it was told."""

    notice: LifeNotice
    moment: float


class Notices:
    """Remember by address what was last told of the life there.

    The gate of a target forgets it when its process ends, and knows the life
    under another number then: the requests that this node sends there tell it.

    >>> notices = Notices()
    >>> notices.note(0, Address('10.0.0.1', 80), LifeNotice('i-1', 2.5))
    >>> notices.find(1, Address('10.0.0.1', 80)).rate
    2.5
    >>> notices.find(1000, Address('10.0.0.1', 80)) is None
    True
    """

    def __init__(self) -> None:
        """Start without any."""
        self._told: OrderedDict[Address, _Told] = OrderedDict()

    def note(self, now: float, address: Address, notice: LifeNotice) -> None:
        """Take what a gate has told."""
        self._told[address] = _Told(notice, now)
        self._told.move_to_end(address)
        if len(self._told) > MOST_KEPT:
            self._told.popitem(last=False)

    def find(self, now: float, address: Address) -> LifeNotice | None:
        """Return what was told of a target there; None: nothing lately."""
        told = self._told.get(address)
        if told is None:
            return None
        if now - told.moment > KEPT:
            self._told.pop(address)
            return None
        return told.notice
