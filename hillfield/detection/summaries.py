"""Sum up many trials of detection."""

from collections.abc import Iterable
from statistics import median
from typing import Final

from msgspec import Struct

from hillfield.detection.measurement import Measurement
from hillfield.detection.trials import BoardKind, Size, Trial
from hillfield.detection.trouble import Trouble
from hillfield.model import ServicePolicy

HIGH_PERCENTILE: Final = 0.99


class Summary(Struct, frozen=True):
    """Hold the figures of trials alike.

    Times are seconds; None where the target never left (at `p99`: where it
    stayed in one trial in a hundred or more). `false_ejections` are per
    hour of one healthy target at one node.
    """

    size: str
    trouble: Trouble
    board: BoardKind
    late_detection_cost: float
    trials: int
    median: float | None
    p99: float | None
    late_share: float
    false_ejections: int
    false_ejections_per_target_hour: float
    least_kept: float


def plan_trials(
    size: Size,
    trouble: Trouble,
    board: BoardKind,
    cost: float,
    seeds: Iterable[int],
) -> tuple[Trial, ...]:
    """Return one trial a seed; `cost` is the late detection's."""
    policy = ServicePolicy('measured', late_detection_cost=cost)
    return tuple(Trial(size, trouble, seed, board, policy) for seed in seeds)


def summarise(measurements: tuple[Measurement, ...]) -> Summary:
    """Sum up the measurements of trials that differ in their seed only."""
    trial = measurements[0].trial
    times = sorted(
        float('inf') if found.detected is None else found.detected
        for found in measurements
    )
    false_ejections = sum(found.false_ejections for found in measurements)
    hours = sum(found.target_hours for found in measurements)
    return Summary(
        trial.size.name,
        trial.trouble,
        trial.board,
        trial.policy.late_detection_cost,
        len(times),
        _or_none(median(times)),
        _or_none(_select_percentile(times)),
        median(found.late_share for found in measurements),
        false_ejections,
        false_ejections / (hours * trial.size.nodes),
        min(found.least_kept for found in measurements),
    )


def _select_percentile(times: list[float]) -> float:
    position = int(HIGH_PERCENTILE * len(times))
    return times[min(position, len(times) - 1)]


def _or_none(seconds: float) -> float | None:
    return None if seconds == float('inf') else seconds
