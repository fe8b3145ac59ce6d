"""What is counted of each request and how much a count weighs.

Each indicator is a yes or no per request. A target is tested against its
peers: the null hypothesis is that it fails as often as they do now, the
alternative that it fails more often by `gap` of what is left to 1. What all
targets of a service suffer raises the null rate and accuses nobody.
"""

from collections.abc import Iterable
from enum import IntEnum
from math import log
from typing import Final

from msgspec import Struct

from hillfield.detection.tuning import Tuning

MAX_NULL_RATE: Final = 0.7


class Indicator(IntEnum):
    """Name what may go wrong with a request."""

    UNREACHABLE = 0
    ERROR = 1
    SLOW = 2
    VERY_SLOW = 3
    HUNG = 4


class Hypotheses(Struct, frozen=True):
    """Hold the least null rate and the gap to the alternative."""

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


def compute_weights(hypotheses: Hypotheses, usual: float) -> Weights:
    """Return the weights when peers fail at the rate `usual`."""
    null = hypotheses.min_null_rate + usual
    if null > MAX_NULL_RATE:
        # Where most requests fail at the peers too, failures tell nothing.
        return NO_WEIGHTS
    room = 1 - null
    sick = null + hypotheses.gap * room
    failure = log(sick / null)
    return Weights(failure, log((1 - sick) / room))


def estimate_peer_rate(rates: Iterable[float], tuning: Tuning) -> float:
    """Return the failure rate of the better part of the peers.

    The worst are left out, so that a sick minority doesn't hide itself.

    >>> estimate_peer_rate([0, 0.25, 1, 0.5, 1], Tuning(peer_factor=1))
    0.25
    """
    ranked = sorted(rates)
    trimmed = int(len(ranked) * tuning.trimmed_peer_share)
    kept = ranked[: len(ranked) - trimmed]
    if not kept:
        return 0
    return tuning.peer_factor * sum(kept) / len(kept)
