"""Metrics of one node."""

from collections.abc import Iterator
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
)

from hillfield.metrics.counters import BoundCounter
from hillfield.metrics.gauges import ReadingCollector
from hillfield.metrics.pieces import render_pieces
from hillfield.metrics.readings import ReadingSource
from hillfield.model import Outcome

# Seconds; close together around the 1.6 ms that a node may add.
ADDED_BUCKETS: Final = (
    0.0001,
    0.0002,
    0.0004,
    0.0006,
    0.0008,
    0.001,
    0.0013,
    0.0016,
    0.002,
    0.003,
    0.005,
    0.01,
    0.1,
)


class NodeMetrics:
    """Count what the node does, in a registry of its own.

    Labels come from the configuration and from fixed sets of words, never
    from what a caller sends, so the number of series is bounded.
    """

    def __init__(self) -> None:
        """Register all metrics.

        The library's own series of when each counter began are left out, in
        the whole process: they would double the number of series.
        """
        disable_created_metrics()  # type: ignore[no-untyped-call]
        registry = CollectorRegistry()
        self.registry = registry
        self._requests = BoundCounter(
            registry,
            'hillfield_requests',
            'Requests that ended, by service and outcome.',
            'service',
            'outcome',
        )
        self._retries = BoundCounter(
            registry,
            'hillfield_retries',
            'Further attempts of a request, by reason.',
            'reason',
        )
        self._refusals = BoundCounter(
            registry,
            'hillfield_refusals',
            'Requests refused by the node itself, by reason.',
            'reason',
        )
        self._decisions = BoundCounter(
            registry,
            'hillfield_decisions',
            'Decisions on targets, by service and kind.',
            'service',
            'kind',
        )
        self._store_calls = BoundCounter(
            registry,
            'hillfield_store_calls',
            'Calls to the key-value service, by kind and end.',
            'kind',
            'end',
        )
        self._link_bytes = BoundCounter(
            registry,
            'hillfield_link_bytes',
            'Bytes between nodes, by direction.',
            'direction',
        )
        self._datagrams = BoundCounter(
            registry,
            'hillfield_datagrams',
            'Load reports between nodes, by direction.',
            'direction',
        )
        self._added = Histogram(
            'hillfield_added_seconds',
            'Time that the node adds to a request.',
            buckets=ADDED_BUCKETS,
            registry=registry,
        )
        ProcessCollector(registry=registry)

    def watch(self, source: ReadingSource) -> None:
        """Read gauges from this source at each scrape."""
        self.registry.register(ReadingCollector(source))

    def note_request(self, service: str, outcome: Outcome) -> None:
        """Count a request that ended."""
        self._requests.count((service, outcome))

    def note_added(self, seconds: float) -> None:
        """Record the time that the node added to a request."""
        self._added.observe(seconds)

    def note_retry(self, reason: str) -> None:
        """Count a further attempt."""
        self._retries.count((reason,))

    def note_refusal(self, reason: str) -> None:
        """Count a request that the node refused."""
        self._refusals.count((reason,))

    def note_decision(self, service: str, kind: str) -> None:
        """Count a decision, such as an ejection."""
        self._decisions.count((service, kind))

    def note_store_calls(self, kind: str, end: str, times: int) -> None:
        """Count calls to the store; `end` is `ok` or `failed`."""
        self._store_calls.count((kind, end), times)

    def note_sent(self, size: int) -> None:
        """Count bytes sent to other nodes."""
        self._link_bytes.count(('sent',), size)

    def note_received(self, size: int) -> None:
        """Count bytes received from other nodes."""
        self._link_bytes.count(('received',), size)

    def note_datagrams(self, direction: str, times: int) -> None:
        """Count load reports: `sent`, `received` or `passed` on."""
        self._datagrams.count((direction,), times)

    def render(self) -> Iterator[bytes]:
        """Yield the text format of Prometheus in pieces of short work."""
        return render_pieces(self.registry)
