"""Summaries of many simulations of detection."""

from collections.abc import Iterable
from statistics import median
from typing import Final

from msgspec import Struct

from hillfield.detection.disturbances import Disturbance
from hillfield.detection.measurement import Measurement
from hillfield.detection.simulations import (
    DetectorKind,
    ServiceSize,
    Simulation,
)
from hillfield.model import ServicePolicy

HIGH_PERCENTILE: Final = 0.99


class Summary(Struct, frozen=True):
    """Hold the figures of runs that differ in their seed only.

    Times are in seconds; None where the target was never taken out of
    rotation (at `p99`: where it stayed in one run in a hundred or more).
    `false_ejections_per_target_hour` is per hour of one healthy target at one
    node.
    """

    size: str
    disturbance: Disturbance
    detector: DetectorKind
    late_detection_cost: float
    runs: int
    median: float | None
    p99: float | None
    late_share: float
    false_ejections: int
    false_ejections_per_target_hour: float
    least_kept: float


def plan_simulations(
    size: ServiceSize,
    disturbance: Disturbance,
    detector: DetectorKind,
    cost: float,
    seeds: Iterable[int],
) -> tuple[Simulation, ...]:
    """Return one run per seed; `cost` is that of a late detection."""
    policy = ServicePolicy('measured', late_detection_cost=cost)
    return tuple(
        Simulation(size, disturbance, seed, detector, policy) for seed in seeds
    )


def summarise(measurements: tuple[Measurement, ...]) -> Summary:
    """Summarize measurements that differ in their seed only."""
    simulation = measurements[0].simulation
    times = sorted(
        float('inf') if measured.detected is None else measured.detected
        for measured in measurements
    )
    false_ejections = sum(each.false_ejections for each in measurements)
    hours = sum(each.target_hours for each in measurements)
    return Summary(
        simulation.size.name,
        simulation.disturbance,
        simulation.detector,
        simulation.policy.late_detection_cost,
        len(times),
        _or_none(median(times)),
        _or_none(_select_percentile(times)),
        median(each.late_share for each in measurements),
        false_ejections,
        false_ejections / (hours * simulation.size.nodes),
        min(each.least_kept for each in measurements),
    )


def _select_percentile(times: list[float]) -> float:
    position = int(HIGH_PERCENTILE * len(times))
    return times[min(position, len(times) - 1)]


def _or_none(seconds: float) -> float | None:
    return None if seconds == float('inf') else seconds
