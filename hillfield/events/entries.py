"""Entries of the time line, and how they are filtered and merged."""

from collections.abc import Iterable
from datetime import UTC, datetime
from operator import attrgetter
from typing import Final

from msgspec import Struct

from hillfield.events.clock import Stamp
from hillfield.events.codes import SEVERITIES
from hillfield.events.occurrences import Occurrence

MILLISECONDS: Final = 1000
# Characters of each text; some texts are chosen by callers, such as a path
# without a route.
MAXIMUM_TEXT_LENGTH: Final = 1000
ELLIPSIS: Final = '...'
# Attributes are read in C; data classes compare in Python, which is slower.
READ_ORDER: Final = attrgetter('stamp.physical', 'stamp.logical', 'node')


class TimelineEntry(Struct, frozen=True):
    """Hold one event as sent between processes.

    `code` is a plain number, so that events of a newer release can be decoded.
    """

    stamp: Stamp
    node: str
    code: int
    event: str
    severity: str
    service: str = ''
    target: str = ''
    account: str = ''
    request: str = ''
    peer: str = ''
    step: str = ''
    detail: str = ''

    @property
    def order(self) -> tuple[Stamp, str]:
        """Return the sort key of the merged time line."""
        return (self.stamp, self.node)

    @property
    def time(self) -> str:
        """Return the wall time in ISO 8601, to the millisecond."""
        seconds = self.stamp.physical / MILLISECONDS
        moment = datetime.fromtimestamp(seconds, UTC)
        return moment.isoformat(timespec='milliseconds')


class TimelineFilter(Struct, frozen=True):
    """Select events; an empty field matches all.

    `target` may be part of a target's name, such as its address; `since`
    and `until` are wall time in milliseconds, both included.
    """

    service: str = ''
    target: str = ''
    request: str = ''
    since: int | None = None
    until: int | None = None

    def matches(self, entry: TimelineEntry) -> bool:
        """Return whether the event matches all fields."""
        if self.service and entry.service != self.service:
            return False
        if self.request and entry.request != self.request:
            return False
        return self.target in entry.target and self._is_in_time(entry)

    def _is_in_time(self, entry: TimelineEntry) -> bool:
        moment = entry.stamp.physical
        if self.since is not None and moment < self.since:
            return False
        return self.until is None or moment <= self.until


def make_entry(
    stamp: Stamp,
    node: str,
    occurrence: Occurrence,
) -> TimelineEntry:
    """Return the entry of an event with its time and node."""
    code = occurrence.code
    return TimelineEntry(
        stamp,
        node,
        code.value,
        code.name,
        SEVERITIES[code],
        shorten(occurrence.service),
        shorten(occurrence.target),
        shorten(occurrence.account),
        shorten(occurrence.request),
        shorten(occurrence.peer),
        shorten(occurrence.step),
        shorten(occurrence.detail),
    )


def shorten(text: str) -> str:
    """Return a text, cut to the length that the time line keeps.

    >>> len(shorten('a' * 5000))
    1000
    """
    if len(text) <= MAXIMUM_TEXT_LENGTH:
        return text
    kept = MAXIMUM_TEXT_LENGTH - len(ELLIPSIS)
    return text[:kept] + ELLIPSIS


def merge_timelines(
    parts: Iterable[Iterable[TimelineEntry]],
) -> tuple[TimelineEntry, ...]:
    """Merge the parts of several nodes in causal order.

    An event in several parts is listed once. Causes precede their effects;
    concurrent events are ordered by time, then by node.
    """
    return sort_entries({entry for part in parts for entry in part})


def sort_entries(
    entries: Iterable[TimelineEntry],
) -> tuple[TimelineEntry, ...]:
    """Sort events by stamp and then by node."""
    return tuple(sorted(entries, key=READ_ORDER))
