"""Progress of attempts as reported by the request path."""

from hillfield.model import TargetNotice
from hillfield.routing.phases import AttemptTrigger
from hillfield.routing.requests import NothingWritten
from hillfield.routing.service import ServiceState


class AttemptProgress:
    """Record the progress of a service's attempts."""

    def __init__(self, service: ServiceState) -> None:
        """Record the attempts of this service."""
        self.detector = service.detector
        self._service = service

    def compute_repeats_share(self, now: float) -> float | None:
        """Return what gates have left of the bound on repeats, if known."""
        return self._service.repeat_shares.compute_mean(now)

    def record_written(self, now: float, attempt: int) -> None:
        """Record that the attempt's first byte is about to be written."""
        found = self._service.table.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.WRITE)
            self.detector.record_start(now, found.target.id, attempt)

    def record_silence(self, now: float, attempt: int) -> None:
        """Record that no keepalive for the attempt arrived in time."""
        found = self._service.table.find(attempt)
        if found is not None:
            lost = NothingWritten('no keepalive arrived in time')
            self.detector.observe(now, found.target.id, attempt, lost)

    def record_notice(
        self,
        now: float,
        attempt: int,
        notice: TargetNotice,
    ) -> None:
        """Ignore the notice: the target's gate applies it."""

    def record_head(self, now: float, attempt: int) -> None:
        """Record that the head of the attempt's answer has arrived."""
        found = self._service.table.find(attempt)
        if found is not None:
            found.follow(AttemptTrigger.HEAD)
            self.detector.record_head(now, found.target.id, attempt)
