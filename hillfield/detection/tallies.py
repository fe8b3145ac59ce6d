"""Counts of one indicator for one target at one node."""

from dataclasses import dataclass
from typing import Final

from hillfield.detection.indicators import Weights

NEGLIGIBLE_COUNT: Final = 0.01
PRIOR_REQUESTS: Final = 1.0


@dataclass(slots=True)
class Tally:
    """Count a run of requests since the target last looked healthy.

    The run is that of a cumulative sum (CUSUM) test: it restarts when its
    score falls to 0. Kept as counts rather than as a sum, it can be scored
    again whenever the peers' rate changes. `recent_*` count all requests.
    """

    requests: float = 0
    failures: float = 0
    unanswered: float = 0
    recent_requests: float = 0
    recent_failures: float = 0
    failed_at: float = float('-inf')
    succeeded_at: float = float('-inf')

    def add_failure(self, now: float) -> None:
        """Count a failure."""
        self.requests += 1
        self.failures += 1
        self.recent_requests += 1
        self.recent_failures += 1
        self.failed_at = now

    def add_success(self, now: float, weights: Weights) -> None:
        """Count a success; end the run when it outweighs the failures."""
        self.recent_requests += 1
        self.succeeded_at = now
        if not self.failures:
            return
        self.requests += 1
        if weights.score(self.requests, self.failures) <= 0:
            self.reset_run()

    @property
    def has_counts(self) -> bool:
        """Return whether any counts are large enough to keep."""
        return self.recent_requests > NEGLIGIBLE_COUNT or self.failures > 0

    @property
    def has_failures(self) -> bool:
        """Return whether failures are among the counts to keep."""
        return self.recent_failures > NEGLIGIBLE_COUNT or self.failures > 0

    def reset_run(self) -> None:
        """Start a new run."""
        self.requests = 0
        self.failures = 0
        self.unanswered = 0

    def decay(self, factor: float, run_factor: float) -> None:
        """Reduce the recent counts and those of the run."""
        self.recent_requests *= factor
        self.recent_failures *= factor
        if not self.failures:
            return
        self.requests *= run_factor
        self.failures *= run_factor
        self.unanswered *= run_factor
        if self.failures < NEGLIGIBLE_COUNT:
            self.reset_run()


def compute_rate(tally: Tally, requests: float, failures: float) -> float:
    """Return how often a peer fails now, for comparison.

    `requests` and `failures` are the counts of other nodes' runs. The rate
    is the higher of those of the peer's present run and of its recent
    requests: when all targets begin to fail at once, the runs show it first.
    """
    failures += tally.failures
    if not failures and not tally.recent_failures:
        return 0
    requests += tally.requests
    recent = tally.recent_failures / (tally.recent_requests + PRIOR_REQUESTS)
    return max(recent, failures / (requests + PRIOR_REQUESTS))
