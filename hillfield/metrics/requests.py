"""Metrics of requests."""

from typing import Final

from prometheus_client import CollectorRegistry, Histogram

from hillfield.metrics.counters import BoundCounter
from hillfield.model import Outcome

# Seconds; narrow around 1.6 ms, the limit of the latency that a node may add.
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


class RequestMetrics:
    """Count requests by outcome, and measure the added latency."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics of requests."""
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
            'Retries of requests, by reason.',
            'reason',
        )
        self._repeats = BoundCounter(
            registry,
            'hillfield_repeats',
            "Requests sent to this host's target that were not the first "
            'arrival of a request, by service and kind.',
            'service',
            'kind',
        )
        self._routes = BoundCounter(
            registry,
            'hillfield_route_requests',
            'Requests by the age of their route at this node, and whether a '
            'good answer came.',
            'age',
            'served',
        )
        self._refusals = BoundCounter(
            registry,
            'hillfield_refusals',
            'Requests refused by the node itself, by reason.',
            'reason',
        )
        self._added = Histogram(
            'hillfield_added_seconds',
            'Latency that the node adds to a request, in seconds.',
            buckets=ADDED_BUCKETS,
            registry=registry,
        )

    def record_request(self, service: str, outcome: Outcome) -> None:
        """Count a request that ended."""
        self._requests.count((service, outcome))

    def record_added_latency(self, seconds: float) -> None:
        """Record the seconds that the node added to a request's latency."""
        self._added.observe(seconds)

    def record_retry(self, reason: str) -> None:
        """Count a retry."""
        self._retries.count((reason,))

    def record_repeat(self, service: str, kind: str) -> None:
        """Count a repeat that was sent to this host's target."""
        self._repeats.count((service, kind))

    def record_route(self, age: str, served: bool) -> None:
        """Count a request by the age of its route at this node."""
        self._routes.count((age, 'yes' if served else 'no'))

    def record_refusal(self, reason: str) -> None:
        """Count a request that the node refused."""
        self._refusals.count((reason,))
