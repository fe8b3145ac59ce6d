"""How a gate tells of its target's room in a header of each answer.

This answers choices made from reports that are old: datagrams are fewer than
the changes of a target's room. An answer tells it to the very node that is
about to choose again, and needs no message of its own.
"""

from typing import Final

from msgspec import MsgspecError, Struct
from msgspec.json import Decoder

from hillfield.loadreports.reports import Held, LoadReport
from hillfield.model import LifeNotice, TargetId, encode_row

ROOM: Final = 'Hillfield-Room'


class _RoomField(Struct, frozen=True, array_like=True):
    """Hold what a `LoadReport` does, less what the reader knows."""

    incarnation: int
    number: int
    free: int
    waiting: int
    held: Held
    wait: float = 0
    usable: int = 0
    notice: LifeNotice | None = None


_DECODER: Final = Decoder(_RoomField)


def write_room(report: LoadReport) -> str:
    """Return the header's text.

    >>> write_room(LoadReport('fees', '10.0.0.1', 80, 7, 1, 0, 2, wait=0.02))
    '[7,1,0,2,0,0.02,0]'
    """
    told = _RoomField(
        report.incarnation,
        report.number,
        report.free,
        report.waiting,
        report.held,
        report.wait,
        report.usable,
        report.notice,
    )
    return encode_row(told).decode()


def read_room(target: TargetId, text: str) -> LoadReport | None:
    """Return what was told of the life of a target that a request was for.

    None: nothing that can be read, or another life has taken its place.

    >>> from hillfield.model import Address
    >>> target = TargetId('fees', Address('10.0.0.1', 80), 7)
    >>> read_room(target, '[7,1,0,2,0,0.02,0]').waiting
    2
    >>> read_room(target, '[8,1,5,0,0]') is None
    True
    >>> read_room(target, '') is None
    True
    """
    try:
        told = _DECODER.decode(text)
    except MsgspecError:
        return None
    if told.incarnation != target.incarnation:
        return None
    return LoadReport(
        target.service,
        target.address.ip,
        target.address.port,
        target.incarnation,
        told.number,
        told.free,
        told.waiting,
        told.held,
        told.wait,
        told.usable,
        told.notice,
    )
