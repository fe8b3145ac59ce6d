"""Distinguish a burst of requests from the usual demand."""

from dataclasses import dataclass
from typing import Final

HALF_LIFE: Final = 0.5
RISE_SECONDS: Final = 30
FALL_SECONDS: Final = 5
LEARNING_SECONDS: Final = 5
IDLE_SECONDS: Final = 10
HALF: Final = 0.5
MIN_COUNT: Final = 8
TOLERATED_FACTOR: Final = 1.7
LATE_SHARE_PER_FACTOR: Final = 0.75
MAX_LATE_SHARE: Final = 0.9


@dataclass(slots=True)
class Demand:
    """Compare the requests of about the last second with the usual demand.

    `recent` is a count that decays, `baseline` its value outside bursts: it
    falls quickly and rises slowly, so that bursts never become usual.
    `active_seconds` is for how long there have been requests: the baseline
    is learned anew after an idle time.
    """

    recent: float = 0
    baseline: float = 0
    advanced_at: float | None = None
    active_seconds: float = 0
    idle_seconds: float = 0

    def count_request(self) -> None:
        """Count a request."""
        self.recent += 1

    def advance(self, now: float) -> None:
        """Decay the count and adjust the baseline up to now."""
        elapsed = 0 if self.advanced_at is None else now - self.advanced_at
        self.advanced_at = now
        self._track_activity(elapsed)
        seconds = RISE_SECONDS if self.recent > self.baseline else FALL_SECONDS
        if self.active_seconds < LEARNING_SECONDS:
            # Not active for long enough to know the baseline.
            seconds = 1
        weight = min(1, elapsed / seconds)
        self.baseline += (self.recent - self.baseline) * weight
        self.recent *= float(HALF ** (elapsed / HALF_LIFE))

    def estimate_late_share(self) -> float:
        """Return the share of late answers that a burst would explain."""
        if self.recent < MIN_COUNT or self.active_seconds < LEARNING_SECONDS:
            return 0
        factor = self.recent / max(1, self.baseline)
        excess = factor - TOLERATED_FACTOR
        return min(MAX_LATE_SHARE, max(0, excess * LATE_SHARE_PER_FACTOR))

    def _track_activity(self, elapsed: float) -> None:
        if self.recent >= MIN_COUNT:
            self.idle_seconds = 0
            self.active_seconds += elapsed
            return
        self.idle_seconds += elapsed
        if self.idle_seconds > IDLE_SECONDS:
            self.active_seconds = 0
