"""Reference latencies of comparable targets, and limits from them."""

from math import log2
from typing import Final

from msgspec import Struct

from hillfield.model import Locality

BUCKETS_PER_DOUBLING: Final = 8
MIN_LATENCY: Final = 1e-5
MIN_SAMPLES: Final = 12
MIN_EXCESS: Final = 0.004
MIN_HUNG_EXCESS: Final = 0.1
NEGLIGIBLE_COUNT: Final = 0.02
SLOW_FACTOR: Final = 2.0
VERY_SLOW_FACTOR: Final = 4.0
HUNG_FACTOR: Final = 16.0


class Limits(Struct, frozen=True):
    """Hold the latencies (seconds) above which a request is late."""

    slow: float = float('inf')
    very_slow: float = float('inf')
    hung: float = float('inf')


NO_LIMITS: Final = Limits()


class LatencyReference:
    """Estimate the median of recent latencies of comparable targets."""

    def __init__(self) -> None:
        """Start without samples."""
        self._buckets: dict[int, float] = {}
        self._samples: float = 0
        self.limits = NO_LIMITS

    def add(self, seconds: float) -> None:
        """Count one latency."""
        bucket = int(BUCKETS_PER_DOUBLING * log2(max(seconds, MIN_LATENCY)))
        self._buckets[bucket] = self._buckets.get(bucket, 0) + 1
        self._samples += 1

    def refresh(self, factor: float) -> None:
        """Reduce the counts by the factor and recompute the limits."""
        self._buckets = {
            bucket: count * factor
            for bucket, count in self._buckets.items()
            if count > NEGLIGIBLE_COUNT
        }
        self._samples = sum(self._buckets.values())
        if self._samples >= MIN_SAMPLES:
            median = self._estimate_median()
            self.limits = Limits(
                max(median * SLOW_FACTOR, median + MIN_EXCESS),
                max(median * VERY_SLOW_FACTOR, median + 2 * MIN_EXCESS),
                max(median * HUNG_FACTOR, median + MIN_HUNG_EXCESS),
            )

    def _estimate_median(self) -> float:
        remaining = self._samples / 2
        for bucket in sorted(self._buckets):
            remaining -= self._buckets[bucket]
            if remaining <= 0:
                return float(2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING))
        return MIN_LATENCY


def classify_distance(here: Locality, there: Locality) -> int:
    """Return 0 within the failure domain, 1 within the region, else 2."""
    if here.region != there.region:
        return 2
    return int(here.failure_domain != there.failure_domain)
