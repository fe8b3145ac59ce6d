"""What a board does that tells nobody and looks at ends only."""

from hillfield.detection.evidence import Evidence
from hillfield.events import Occurrence
from hillfield.model import TargetId


class ResultDetector:
    """Ignore starts, heads and other nodes; keep events until the tick."""

    def __init__(self) -> None:
        """Start without events."""
        self.pending_occurrences: list[Occurrence] = []

    def note_started(self, now: float, target: TargetId, attempt: int) -> None:
        """Ignore the start."""

    def note_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Ignore the head: `observe` follows."""

    def excuse(self, now: float, seconds: float) -> None:
        """Excuse nobody: ends alone are judged here."""

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return nothing: such a board tells nobody."""
        return ()

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Ignore what others tell."""

    def take_occurrences(self) -> tuple[Occurrence, ...]:
        """Return the events since the last call."""
        occurrences = tuple(self.pending_occurrences)
        self.pending_occurrences.clear()
        return occurrences
