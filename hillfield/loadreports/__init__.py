"""Load reports: what the gate of a target tells other nodes of its room."""

from hillfield.loadreports.pacing import ReportPacer
from hillfield.loadreports.reports import Held, LoadReport, ReportCodec

__all__ = (
    'Held',
    'LoadReport',
    'ReportCodec',
    'ReportPacer',
)
