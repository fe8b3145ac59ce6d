"""Events as reported by the parts of hillfield."""

from typing import Protocol

from msgspec import Struct

from hillfield.events.codes import EventCode


class Occurrence(Struct, frozen=True):
    """Describe an event and what it concerns.

    Fields that do not apply stay empty; `detail` is text for people, the
    other fields can be evaluated by scripts.
    """

    code: EventCode
    service: str = ''
    target: str = ''
    account: str = ''
    request: str = ''
    peer: str = ''
    step: str = ''
    detail: str = ''


class Journal(Protocol):
    """Record events; implemented by the time line and by lists in tests."""

    def record(self, occurrence: Occurrence) -> None:
        """Record an event at the present time."""


class ListJournal:
    """Keep events in a list, for tests and tools."""

    def __init__(self) -> None:
        """Start empty."""
        self.occurrences: list[Occurrence] = []

    def record(self, occurrence: Occurrence) -> None:
        """Append the event."""
        self.occurrences.append(occurrence)
