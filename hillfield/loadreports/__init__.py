"""Load reports: the free capacity of a target, as its gate reports it."""

from hillfield.loadreports.fields import ROOM, read_room, write_room
from hillfield.loadreports.pacing import ReportPacer
from hillfield.loadreports.reports import Held, LoadReport, ReportCodec

__all__ = (
    'ROOM',
    'Held',
    'LoadReport',
    'ReportCodec',
    'ReportPacer',
    'read_room',
    'write_room',
)
