"""Numbered events and the time line."""

from hillfield.events.clock import HybridClock, Stamp
from hillfield.events.codes import SEVERITIES, EventCode
from hillfield.events.entries import (
    TimelineEntry,
    TimelineFilter,
    merge_timelines,
)
from hillfield.events.logs import Logger, SilentLogger, StructuredLogger
from hillfield.events.occurrences import Journal, ListJournal, Occurrence
from hillfield.events.timeline import Timeline

__all__ = (
    'SEVERITIES',
    'EventCode',
    'HybridClock',
    'Journal',
    'ListJournal',
    'Logger',
    'Occurrence',
    'SilentLogger',
    'Stamp',
    'StructuredLogger',
    'Timeline',
    'TimelineEntry',
    'TimelineFilter',
    'merge_timelines',
)
