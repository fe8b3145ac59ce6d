"""Interface of the request path to the metrics."""

from typing import Protocol

from hillfield.model import Outcome


class RequestMeter(Protocol):
    """Counter of requests; implemented by the node's metrics."""

    def record_request(self, service: str, outcome: Outcome) -> None:
        """Count a request by the outcome sent to its caller."""

    def record_added_latency(self, seconds: float) -> None:
        """Record the latency that the node added to the target's own."""

    def record_retry(self, reason: str) -> None:
        """Count a further attempt by how the one before ended."""

    def record_route(self, age: str, served: bool) -> None:
        """Count a request by the age of its route at this node."""


class NoMeter:
    """Meter that counts nothing."""

    def record_request(self, service: str, outcome: Outcome) -> None:
        """Ignore it."""

    def record_added_latency(self, seconds: float) -> None:
        """Ignore it."""

    def record_retry(self, reason: str) -> None:
        """Ignore it."""

    def record_route(self, age: str, served: bool) -> None:
        """Ignore it."""
