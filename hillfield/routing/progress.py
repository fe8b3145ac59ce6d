"""What a dispatcher is told of attempts under way."""

from hillfield.model import TargetNotice
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.requests import NothingWritten
from hillfield.routing.service import ServiceState


class AttemptProgress:
    """Take notes of a service's attempts."""

    def __init__(self, service: ServiceState) -> None:
        """Take notes for this service."""
        self.board = service.board
        self._service = service

    def note_written(self, now: float, attempt: int) -> None:
        """Note that the attempt's first byte is about to be written."""
        found = self._service.table.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.WRITE)
            self.board.note_started(now, found.target.id, attempt)

    def note_silent(self, now: float, attempt: int) -> None:
        """Note that the other end gave no sign of life in time."""
        found = self._service.table.find(attempt)
        if found is not None:
            lost = NothingWritten('no sign of life')
            self.board.observe(now, found.target.id, attempt, lost)

    def note_notice(
        self,
        now: float,
        attempt: int,
        notice: TargetNotice,
    ) -> None:
        """Ignore it: the gate of the target obeys what it says."""

    def note_head(self, now: float, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""
        found = self._service.table.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.HEAD)
            self.board.note_head(now, found.target.id, attempt)
