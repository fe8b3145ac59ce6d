"""Metrics of one node."""

from collections.abc import Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    ProcessCollector,
    disable_created_metrics,
)

from hillfield.metrics.counters import BoundCounter
from hillfield.metrics.gauges import ReadingCollector
from hillfield.metrics.pieces import render_pieces
from hillfield.metrics.readings import ReadingSource
from hillfield.metrics.requests import RequestMetrics


class NodeMetrics(RequestMetrics):
    """Count the activity of one node, in a separate registry.

    Label values come from the configuration and from fixed sets of words,
    never from requests of callers, so the number of series is bounded.
    """

    def __init__(self) -> None:
        """Register all metrics.

        The library's series with the creation time of each counter are
        disabled in the whole process: they double the number of series.
        """
        disable_created_metrics()  # type: ignore[no-untyped-call]
        registry = CollectorRegistry()
        super().__init__(registry)
        self.registry = registry
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
            'Calls to the store, by kind and result.',
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
            'Datagrams between nodes, by direction.',
            'direction',
        )
        self._unread_headers = BoundCounter(
            registry,
            'hillfield_unread_headers',
            "Headers of the target's answers that this version does not know, by name.",
            'header',
        )
        self._late = Counter(
            'hillfield_loop_late_seconds',
            'Seconds by which the event loop was late, and read no messages.',
            registry=registry,
        )
        ProcessCollector(registry=registry)

    def watch(self, source: ReadingSource) -> None:
        """Register a source of gauges, which is read at each scrape."""
        self.registry.register(ReadingCollector(source))

    def record_decision(self, service: str, kind: str) -> None:
        """Count a decision, such as an ejection."""
        self._decisions.count((service, kind))

    def record_store_calls(self, kind: str, end: str, times: int) -> None:
        """Count calls to the store; `end` is `ok` or `failed`."""
        self._store_calls.count((kind, end), times)

    def record_sent(self, size: int) -> None:
        """Count bytes sent to other nodes."""
        self._link_bytes.count(('sent',), size)

    def record_received(self, size: int) -> None:
        """Count bytes received from other nodes."""
        self._link_bytes.count(('received',), size)

    def record_datagrams(self, direction: str, times: int) -> None:
        """Count datagrams: `sent`, `received` or `passed` (forwarded)."""
        self._datagrams.count((direction,), times)

    def record_unknown_header(self, name: str) -> None:
        """Count an unknown header; few names are distinguished."""
        self._unread_headers.count((name,))

    def record_late(self, seconds: float) -> None:
        """Count seconds for which the node's loop was late."""
        self._late.inc(seconds)

    def render(self) -> Iterator[bytes]:
        """Yield the text format of Prometheus in pieces that are quick to render."""
        return render_pieces(self.registry)
