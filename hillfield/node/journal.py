"""A journal that counts events before it forwards them."""

from typing import Final

from hillfield.events import EventCode, Journal, Occurrence
from hillfield.metrics import NodeMetrics

FIRST_DECISION: Final = 3000
FIRST_AFTER_DECISIONS: Final = 4000


class CountingJournal:
    """Forward events; count decisions and refusals for the metrics."""

    def __init__(self, journal: Journal, metrics: NodeMetrics) -> None:
        """Forward events to `journal`."""
        self._journal = journal
        self._metrics = metrics

    def record(self, occurrence: Occurrence) -> None:
        """Count and forward an event."""
        if is_decision(occurrence.code):
            kind = occurrence.code.name.lower()
            self._metrics.record_decision(occurrence.service, kind)
        elif occurrence.code is EventCode.BYTES_EXHAUSTED:
            self._metrics.record_refusal(occurrence.detail)
        self._journal.record(occurrence)


def is_decision(code: EventCode) -> bool:
    """Return whether an event records a decision on a target."""
    return FIRST_DECISION <= code < FIRST_AFTER_DECISIONS
