"""Indicators counted for each request, and the weights of the counts.

Each indicator is a yes or no per request. A target is tested against its
peers: the null hypothesis is that it fails as often as they do now, the
alternative that it fails more often by `gap` of what is left to 1. A fault
that all targets of a service share raises the null rate and ejects none.
"""

from collections.abc import Iterable
from enum import IntEnum
from math import log
from typing import Final

from msgspec import Struct

from hillfield.detection.tuning import Tuning

MAX_NULL_RATE: Final = 0.7


class Indicator(IntEnum):
    """Name a way in which a request can fail."""

    UNREACHABLE = 0
    ERROR = 1
    SLOW = 2
    VERY_SLOW = 3
    HUNG = 4


class Hypotheses(Struct, frozen=True):
    """Hold the lowest null rate and the gap to the alternative."""

    min_null_rate: float
    gap: float


RARE_RATE: Final = 0.01
UNCOMMON_RATE: Final = 0.015
VERY_RARE_RATE: Final = 0.007
COMMON_RATE: Final = 0.06
SMALL_GAP: Final = 0.2
MEDIUM_GAP: Final = 0.3
LARGE_GAP: Final = 0.5
HYPOTHESES: Final = (
    Hypotheses(min_null_rate=RARE_RATE, gap=MEDIUM_GAP),
    Hypotheses(min_null_rate=RARE_RATE, gap=SMALL_GAP),
    Hypotheses(min_null_rate=COMMON_RATE, gap=LARGE_GAP),
    Hypotheses(min_null_rate=UNCOMMON_RATE, gap=LARGE_GAP),
    Hypotheses(min_null_rate=VERY_RARE_RATE, gap=LARGE_GAP),
)


class Weights(Struct, frozen=True):
    """Hold the log-likelihood ratio of one failure and of one success.

    >>> weights = compute_weights(HYPOTHESES[Indicator.ERROR], 0)
    >>> round(weights.score(3, 3), 1), round(weights.score(10, 0), 1)
    (9.1, -2.2)
    """

    failure: float
    success: float

    def score(self, requests: float, failures: float) -> float:
        """Return the log-likelihood ratio of these counts."""
        successes = requests - failures
        return failures * self.failure + successes * self.success


NO_WEIGHTS: Final = Weights(0, 0)


def compute_weights(hypotheses: Hypotheses, peer_rate: float) -> Weights:
    """Return the weights when peers fail at this rate."""
    null = hypotheses.min_null_rate + peer_rate
    if null > MAX_NULL_RATE:
        # Where most requests fail at the peers too, failures are no evidence.
        return NO_WEIGHTS
    success_rate = 1 - null
    alternative = null + hypotheses.gap * success_rate
    failure = log(alternative / null)
    return Weights(failure, log((1 - alternative) / success_rate))


def estimate_peer_rate(rates: Iterable[float], tuning: Tuning) -> float:
    """Return the failure rate of the better part of the peers.

    The worst are left out, so that an unhealthy minority doesn't raise the
    rate it is compared with.

    >>> estimate_peer_rate([0, 0.25, 1, 0.5, 1], Tuning(peer_factor=1))
    0.25
    """
    ranked = sorted(rates)
    trimmed = int(len(ranked) * tuning.trimmed_peer_share)
    kept = ranked[: len(ranked) - trimmed]
    if not kept:
        return 0
    return tuning.peer_factor * sum(kept) / len(kept)
