"""Common part of detectors that use the results of attempts only."""

from hillfield.detection.evidence import Evidence
from hillfield.events import Occurrence
from hillfield.model import TargetId


class ResultDetector:
    """Ignore starts, heads and other nodes; keep events until a tick."""

    def __init__(self) -> None:
        """Start without events."""
        self.pending_occurrences: list[Occurrence] = []

    def record_start(self, now: float, target: TargetId, attempt: int) -> None:
        """Ignore the start of an attempt."""

    def record_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Ignore the head of an answer: `observe` follows."""

    def discount_pause(self, now: float, seconds: float) -> None:
        """Ignore a pause: the age of attempts is not used."""

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return nothing: such a detector sends no evidence."""
        return ()

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Ignore evidence of other nodes."""

    def take_occurrences(self) -> tuple[Occurrence, ...]:
        """Return the events since the last call."""
        occurrences = tuple(self.pending_occurrences)
        self.pending_occurrences.clear()
        return occurrences
