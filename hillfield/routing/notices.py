"""What this node was told that targets say of themselves."""

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from hillfield.model import Address, LifeNotice

# Seconds for which it is told on. A target that leaves serves on for seconds,
# at times many; a limit counts at a gate that has just started until its first
# answer, so an old one does no harm.
NOTICE_LIFETIME: Final = 600.0
# Addresses of one service that are remembered, the latest told.
MAXIMUM_NOTICES: Final = 512


class _ReceivedNotice(Struct, frozen=True):
    """Hold a notice, and when it was told."""

    notice: LifeNotice
    received_at: float


class ReceivedNotices:
    """Remember by address what was last told of the life there.

    The gate of a target forgets it when its process ends, and knows the life
    under another number then: the requests that this node sends there tell it.

    >>> notices = ReceivedNotices()
    >>> notices.record(0, Address('10.0.0.1', 80), LifeNotice('i-1', 2.5))
    >>> notices.find(1, Address('10.0.0.1', 80)).rate
    2.5
    >>> notices.find(1000, Address('10.0.0.1', 80)) is None
    True
    """

    def __init__(self) -> None:
        """Start without any."""
        self._notices: OrderedDict[Address, _ReceivedNotice] = OrderedDict()

    def record(self, now: float, address: Address, notice: LifeNotice) -> None:
        """Take what a gate has told."""
        self._notices[address] = _ReceivedNotice(notice, now)
        self._notices.move_to_end(address)
        if len(self._notices) > MAXIMUM_NOTICES:
            self._notices.popitem(last=False)

    def find(self, now: float, address: Address) -> LifeNotice | None:
        """Return what was told of a target there; None: nothing lately."""
        received = self._notices.get(address)
        if received is None:
            return None
        if now - received.received_at > NOTICE_LIFETIME:
            self._notices.pop(address)
            return None
        return received.notice
