"""Notices of targets that this node has received."""

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from hillfield.model import Address, IncarnationNotice

# Seconds for which a notice is passed on with requests. A target that leaves
# keeps serving for seconds, sometimes many. A rate limit counts at a restarted
# gate only until its target's first answer, so an old one does no harm.
NOTICE_LIFETIME: Final = 600.0
# Addresses kept for one service, those with the latest notices.
MAXIMUM_NOTICES: Final = 512


class _ReceivedNotice(Struct, frozen=True):
    """Hold a notice and when it was received."""

    notice: IncarnationNotice
    received_at: float


class ReceivedNotices:
    """Hold the last notice of the target at each address.

    The gate beside a target loses its notices when the gate's process ends, and
    knows the target's incarnation under another number after that. Requests
    that this node sends there return the notice to it.

    >>> notices = ReceivedNotices()
    >>> notices.record(0, Address('10.0.0.1', 80), IncarnationNotice('i-1', 2.5))
    >>> notices.find(1, Address('10.0.0.1', 80)).rate
    2.5
    >>> notices.find(1000, Address('10.0.0.1', 80)) is None
    True
    """

    def __init__(self) -> None:
        """Start without notices."""
        self._notices: OrderedDict[Address, _ReceivedNotice] = OrderedDict()

    def record(
        self, now: float, address: Address, notice: IncarnationNotice
    ) -> None:
        """Store a notice that a gate has reported."""
        self._notices[address] = _ReceivedNotice(notice, now)
        self._notices.move_to_end(address)
        if len(self._notices) > MAXIMUM_NOTICES:
            self._notices.popitem(last=False)

    def find(self, now: float, address: Address) -> IncarnationNotice | None:
        """Return the notice of the target there; None if none is recent."""
        received = self._notices.get(address)
        if received is None:
            return None
        if now - received.received_at > NOTICE_LIFETIME:
            self._notices.pop(address)
            return None
        return received.notice
