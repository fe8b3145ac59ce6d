"""What the request path tells the metrics."""

from typing import Protocol

from hillfield.model import Outcome


class RequestMeter(Protocol):
    """Count requests; implemented by the node's metrics."""

    def note_request(self, service: str, outcome: Outcome) -> None:
        """Count a request by what its caller was told."""

    def note_added(self, seconds: float) -> None:
        """Note what the node added to the target's own time."""

    def note_retry(self, reason: str) -> None:
        """Count a further attempt by what ended the one before."""

    def note_route(self, age: str, served: bool) -> None:
        """Count a request by how long its route has been known here."""


class NoMeter:
    """Count nothing."""

    def note_request(self, service: str, outcome: Outcome) -> None:
        """Ignore it."""

    def note_added(self, seconds: float) -> None:
        """Ignore it."""

    def note_retry(self, reason: str) -> None:
        """Ignore it."""

    def note_route(self, age: str, served: bool) -> None:
        """Ignore it."""
