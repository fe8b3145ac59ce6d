"""What a board notes of attempts under way."""

from hillfield.detection.health import Health
from hillfield.detection.lateness import count_head
from hillfield.detection.service import Service
from hillfield.model import TargetId


class AttemptNotes:
    """Follow the attempts of one service; times are seconds."""

    def __init__(self, service: Service) -> None:
        """Take notes for this service."""
        self._service = service

    def note_started(self, now: float, target: TargetId, attempt: int) -> None:
        """Note that an attempt is about to be written."""
        self._service.attempts.start(now, target, attempt)
        self._service.demand.add()
        record = self._service.records.get(target)
        if record is None:
            return
        self._service.counted.add(target)
        if record.health is Health.TRIAL:
            record.trials.add(attempt)

    def note_head(self, now: float, target: TargetId, attempt: int) -> None:
        """Note that the head of the attempt's answer has come."""
        started = self._service.attempts.take(attempt)
        record = self._service.records.get(target)
        if started is not None and record is not None:
            count_head(self._service, record, started, now)

    def excuse(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against targets."""
        self._service.attempts.excuse(now, seconds)
