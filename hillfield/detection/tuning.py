"""The constants of detection."""

from math import log
from typing import Final

from msgspec import Struct

from hillfield.model import ServicePolicy

MIN_THRESHOLD: Final = 3.0
MIN_COST: Final = 1e-6


class Tuning(Struct, frozen=True):
    """Hold the constants of the decisions; times are in seconds.

    `threshold` is the log-likelihood ratio at which a target counts as
    unhealthy when late detection and false ejection cost the same;
    `node_penalty` is added for each further node whose counts are pooled,
    since each node chose the worst run of its own; `half_life` is how fast
    counts decay, longer when there is little traffic, so that
    `kept_requests` remain; `seconds_per_ejection` is how long a target must
    be healthy for one of its recent ejections to be disregarded.
    """

    threshold: float = 8.5
    node_penalty: float = 0.6
    half_life: float = 2
    max_half_life: float = 60
    run_half_life_factor: float = 4
    kept_requests: float = 8
    peer_rate_half_life: float = 2
    latency_persistence: float = 0.19
    error_persistence: float = 0.15
    trimmed_peer_share: float = 0.4
    peer_factor: float = 1.5
    ejection_seconds: float = 10
    max_ejection_seconds: float = 300
    avoidance_seconds: float = 4
    seconds_per_ejection: float = 60
    suspect_penalty: float = 1
    tolerated_suspect_share: float = 0.1
    failed_probe_discount: float = 1.5
    max_failing_probe_share: float = 0.2
    max_report_age: float = 5


DEFAULT_TUNING: Final = Tuning()


def compute_threshold(policy: ServicePolicy, tuning: Tuning) -> float:
    """Return the log-likelihood ratio from which a target is unhealthy.

    Wald's test puts the bound at the logarithm of the ratio of the costs, so
    a late detection that costs e times more lowers the bound by one.

    >>> compute_threshold(ServicePolicy('search'), DEFAULT_TUNING)
    8.5
    """
    cost = max(policy.late_detection_cost, MIN_COST)
    return max(MIN_THRESHOLD, tuning.threshold - log(cost))
