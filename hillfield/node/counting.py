"""Export running totals of links and of the store to the metrics."""

from collections import Counter
from typing import Final

from hillfield.fleet import Fleet
from hillfield.link.layer import LinkCounts
from hillfield.node.parts import Parts
from hillfield.store.counters import CallKind

DONE: Final = 'ok'
FAILED: Final = 'failed'


class TotalsExporter:
    """Add to the metrics by how much the totals have grown."""

    def __init__(self, parts: Parts, fleet: Fleet) -> None:
        """Start from totals of zero."""
        self._parts = parts
        self._fleet = fleet
        self._links = LinkCounts()
        self._started: Counter[CallKind] = Counter()
        self._failed: Counter[CallKind] = Counter()

    def export(self) -> None:
        """Add the growth since the last call."""
        self._export_links()
        self._export_calls()

    def _export_links(self) -> None:
        before, now = self._links, self._fleet.links.counts
        self._links = now
        metrics = self._parts.metrics
        metrics.record_sent(now.sent_bytes - before.sent_bytes)
        metrics.record_received(now.received_bytes - before.received_bytes)

    def _export_calls(self) -> None:
        counts = self._parts.store.counts
        failed = counts.failed - self._failed
        done = counts.started - self._started - failed
        self._started = counts.started.copy()
        self._failed = counts.failed.copy()
        for kind, times in done.items():
            self._parts.metrics.record_store_calls(kind, DONE, times)
        for broken, amount in failed.items():
            self._parts.metrics.record_store_calls(broken, FAILED, amount)
