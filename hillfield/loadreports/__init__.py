"""Load reports: the free capacity of a target, as its gate reports it."""

from hillfield.loadreports.fields import ROOM, read_capacity, write_capacity
from hillfield.loadreports.pacing import ReportPacer
from hillfield.loadreports.reports import Held, LoadReport, ReportCodec

__all__ = (
    'ROOM',
    'Held',
    'LoadReport',
    'ReportCodec',
    'ReportPacer',
    'read_capacity',
    'write_capacity',
)
