"""Measure what a full time line holds."""

import tracemalloc
from pathlib import Path
from typing import Final

from hillfield.demo.layout import render_settings
from hillfield.events import EventCode, Occurrence, Timeline, TimelineEntry
from hillfield.experiments.sizing.rigs import place_nodes
from hillfield.experiments.sizing.windows import MEGABYTE
from hillfield.settings import NodeSettings
from hillfield.settings.reader import parse_settings

EXAMPLE: Final = '/hillfield/north/accounts/0'


class SilentLogger:
    """Write no log lines."""

    def write(self, entry: TimelineEntry, suppressed: int) -> None:
        """Do nothing with an event."""


def measure_timeline() -> float:
    """Return the megabytes of a time line with as many events as it keeps."""
    settings = _make_settings()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    timeline = Timeline(settings, logger=SilentLogger())
    for number in range(settings.timeline.events):
        detail = f'{EXAMPLE} at revision {number}'
        timeline.record(
            Occurrence(EventCode.CONFIGURATION_ADOPTED, detail=detail),
        )
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held / MEGABYTE


def _make_settings() -> NodeSettings:
    layout = place_nodes(1, 1)
    text = render_settings(layout, layout.hosts[0])
    return parse_settings(text, Path()).ok
