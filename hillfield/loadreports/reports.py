"""Reports of the free capacity of a target, and their encoding."""

from enum import IntEnum
from typing import Final

from msgspec import Struct

from hillfield.loadreports.sealing import SealedCodec
from hillfield.model import Address, IncarnationNotice, TargetId


# Parts of the slack above which a gate reports nothing of what it has left for
# repeats: what its requests have earned on top is left to its own retries.
ENOUGH_REPEATS: Final[int] = 2


class WithheldWork(IntEnum):
    """Name the work that a gate withholds from its target.

    `ONCE`: requests that must not run twice; `USUAL`: all but a trial; `ALL`:
    all.
    """

    NOTHING = 0
    ONCE = 1
    USUAL = 2
    ALL = 3


class LoadReport(Struct, frozen=True, array_like=True):
    """Report the free capacity of one incarnation of a target.

    `number` grows with each report of an incarnation, `free` is its free
    slots, `waiting` the requests that wait at its gate, `held` the work that
    the gate withholds, `wait` the seconds until one more usual request would
    begin (0 where a slot is free), `usable` the slots that do useful work now
    (0: not reported), `notice` what the target says about itself (None:
    nothing), `repeats` what is left of its part of the bound on repeats, in
    parts of the slack (None: enough).
    """

    service: str
    ip: str
    port: int
    incarnation: int
    number: int
    free: int
    waiting: int = 0
    held: WithheldWork = WithheldWork.NOTHING
    wait: float = 0
    usable: int = 0
    notice: IncarnationNotice | None = None
    repeats: float | None = None

    @property
    def target(self) -> TargetId:
        """Return the incarnation of the target that is reported."""
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
