"""Load reports: the free capacity of a target, as its gate reports it."""

from hillfield.loadreports.fields import (
    CAPACITY_HEADER,
    read_capacity,
    write_capacity,
)
from hillfield.loadreports.pacing import ReportPacer
from hillfield.loadreports.reports import LoadReport, ReportCodec, WithheldWork

__all__ = (
    'CAPACITY_HEADER',
    'WithheldWork',
    'LoadReport',
    'ReportCodec',
    'ReportPacer',
    'read_capacity',
    'write_capacity',
)
