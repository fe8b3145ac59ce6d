"""Load reports: what the gate of a target tells other nodes of its room."""

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
