"""What a gate is told of attempts under way, and what it tells."""

from hillfield.gate.reporting import report_load
from hillfield.gate.state import GateState
from hillfield.loadreports.reports import LoadReport
from hillfield.routing.phases import AttemptTrigger


class GateNotes:
    """Take notes of attempts at the target, and tell of its room."""

    def __init__(self, state: GateState) -> None:
        """Take notes in this state."""
        self._state = state
        self._told = 0

    def note_written(self, now: float, attempt: int) -> None:
        """Note that the attempt's first byte is about to be written."""
        found = self._state.ledger.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.WRITE)

    def note_head(self, now: float, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""
        found = self._state.ledger.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.HEAD)

    def note_silent(self, now: float, attempt: int) -> None:
        """Ignore it: targets send no signs of life."""

    def report(self, now: float) -> LoadReport | None:
        """Return what other nodes should know of the target's room."""
        self._told += 1
        return report_load(self._state, now, self._told)
