"""The header by which a gate reports its target's capacity on each answer.

Datagrams are fewer than the changes of a target's capacity, so nodes would
choose by old reports. An answer reports it to the very node that is about to
choose again, without a message of its own.
"""

from typing import Final

from msgspec import MsgspecError, Struct
from msgspec.json import Decoder

from hillfield.loadreports.reports import LoadReport, WithheldWork
from hillfield.model import IncarnationNotice, TargetId, encode_row

CAPACITY_HEADER: Final = 'Hillfield-Room'


class _CapacityField(Struct, frozen=True, array_like=True):
    """Hold the content of a `LoadReport` that the receiver doesn't know."""

    incarnation: int
    number: int
    free: int
    waiting: int
    held: WithheldWork
    wait: float = 0
    usable: int = 0
    notice: IncarnationNotice | None = None
    repeats: float | None = None


_DECODER: Final = Decoder(_CapacityField)


def write_capacity(report: LoadReport) -> str:
    """Return the header's value.

    >>> write_capacity(LoadReport('fees', '10.0.0.1', 80, 7, 1, 0, 2, wait=0.02))
    '[7,1,0,2,0,0.02,0]'
    """
    field = _CapacityField(
        report.incarnation,
        report.number,
        report.free,
        report.waiting,
        report.held,
        report.wait,
        report.usable,
        report.notice,
        report.repeats,
    )
    return encode_row(field).decode()


def read_capacity(target: TargetId, text: str) -> LoadReport | None:
    """Return the report of the incarnation that a request was for.

    None: the value is malformed, or another incarnation has replaced it.

    >>> from hillfield.model import Address
    >>> target = TargetId('fees', Address('10.0.0.1', 80), 7)
    >>> read_capacity(target, '[7,1,0,2,0,0.02,0]').waiting
    2
    >>> read_capacity(target, '[8,1,5,0,0]') is None
    True
    >>> read_capacity(target, '') is None
    True
    """
    try:
        field = _DECODER.decode(text)
    except MsgspecError:
        return None
    if field.incarnation != target.incarnation:
        return None
    return LoadReport(
        target.service,
        target.address.ip,
        target.address.port,
        target.incarnation,
        field.number,
        field.free,
        field.waiting,
        field.held,
        field.wait,
        field.usable,
        field.notice,
        field.repeats,
    )
