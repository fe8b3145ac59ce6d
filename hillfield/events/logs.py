"""Log lines written by structlog, as JSON or for a console."""

from logging import getLevelNamesMapping
from typing import Any, Final, Protocol, TextIO, cast

from structlog import WriteLogger, make_filtering_bound_logger, wrap_logger
from structlog.dev import ConsoleRenderer
from structlog.processors import JSONRenderer, add_log_level

from hillfield.events.entries import TimelineEntry
from hillfield.events.streams import LineStream
from hillfield.settings import LogFormat, NodeSettings

STANDARD_OUTPUT: Final = 1
OPTIONAL_FIELDS: Final = (
    'service',
    'target',
    'account',
    'request',
    'peer',
    'step',
    'detail',
)


class Logger(Protocol):
    """Write one line for an event."""

    def write(self, entry: TimelineEntry, suppressed: int) -> None:
        """Write the event and how many lines of its code were suppressed."""


class StructuredLogger:
    """Write lines at each event's severity."""

    def __init__(self, settings: NodeSettings, stream: LineStream) -> None:
        """Set the format and the least severity from the settings."""
        level = getLevelNamesMapping()[settings.log.level.upper()]
        self._stream = stream
        self._logger = wrap_logger(
            WriteLogger(cast(TextIO, stream)),
            processors=[add_log_level, choose_renderer(settings)],
            wrapper_class=make_filtering_bound_logger(level),
        )

    def write(self, entry: TimelineEntry, suppressed: int) -> None:
        """Write the event and how many lines of its code were suppressed.

        `lost` counts lines that could not be written before this one.
        """
        columns: dict[str, Any] = {
            'time': entry.time,
            'logical': entry.stamp.logical,
            'node': entry.node,
            'code': entry.code,
        }
        for name in OPTIONAL_FIELDS:
            text = getattr(entry, name)
            if text:
                columns[name] = text
        if suppressed:
            columns['suppressed'] = suppressed
        if self._stream.lost:
            columns['lost'] = self._stream.lost
        getattr(self._logger, entry.severity)(entry.event, **columns)


class SilentLogger:
    """Write nothing, for tests and tools."""

    def write(self, entry: TimelineEntry, suppressed: int) -> None:
        """Drop the line."""


def make_logger(settings: NodeSettings) -> Logger:
    """Return the logger of a process; it writes to standard output."""
    return StructuredLogger(settings, LineStream(STANDARD_OUTPUT))


def choose_renderer(settings: NodeSettings) -> Any:
    """Return the processor that renders a line."""
    if settings.log.format is LogFormat.JSON:
        return JSONRenderer()
    return ConsoleRenderer(colors=False)
