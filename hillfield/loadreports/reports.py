"""What a gate tells of its target's room, and how that is coded."""

from enum import IntEnum

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec
from hillfield.model import Address, LifeNotice, TargetId


class Held(IntEnum):
    """Say which work a gate holds back from its target.

    `ONCE`: work that runs once; `USUAL`: all but a trial; `ALL`: all.
    """

    NOTHING = 0
    ONCE = 1
    USUAL = 2
    ALL = 3


class LoadReport(Struct, frozen=True, array_like=True):
    """Say how much room one life of a target has.

    `number` grows with each report of a life, `free` is its free slots,
    `waiting` how many requests wait at its gate, `held` what work the gate
    holds back, `wait` the seconds until one more usual request would begin (0
    where a slot is free), `usable` the slots that do useful work now (0: not
    told), `notice` what the target says of itself (None: nothing).
    """

    service: str
    ip: str
    port: int
    incarnation: int
    number: int
    free: int
    waiting: int = 0
    held: Held = Held.NOTHING
    wait: float = 0
    usable: int = 0
    notice: LifeNotice | None = None

    @property
    def target(self) -> TargetId:
        """Return the life of the target that is told of."""
        address = Address(self.ip, self.port)
        return TargetId(self.service, address, self.incarnation)


class ReportCodec(SealedCodec[LoadReport]):
    """Seal reports with the cluster's key, and open them.

    >>> codec = ReportCodec(b'key')
    >>> report = LoadReport('fees', '10.0.0.1', 80, 7, 1, 4)
    >>> codec.open(codec.seal(report)) == report
    True
    >>> ReportCodec(b'other').open(codec.seal(report)) is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Seal with this key."""
        super().__init__(key, LoadReport)
