"""Measure the decisions on modelled requests, with time as a value.

A service of some targets is called over a few nodes, each a plain board;
the boards' evidence goes round five times a second. Nothing here opens a
socket or reads a clock, and a seed gives the same figures every time.
"""

from typing import Final

from msgspec import Struct

from hillfield.detection.modelfleet import ModelFleet, build_fleet
from hillfield.detection.ticks import TICK, tick_detectors
from hillfield.detection.traffic import run_until
from hillfield.detection.trials import Trial
from hillfield.detection.trouble import INNOCENT, ONSET

HOUR: Final = 3600


class Measurement(Struct, frozen=True):
    """Hold what a trial showed.

    `detected` is the seconds from the onset to the last request that the sick
    target got before all nodes had it out of rotation (None: never out);
    `late_share` is the work that it got after that, mostly trials, as a share
    of a healthy target's; `false_ejections` how often a node took
    a healthy target out, `avoided` how often one avoided a target.
    """

    trial: Trial
    detected: float | None
    late_share: float
    false_ejections: int
    avoided: int
    target_hours: float
    least_kept: float


def measure(trial: Trial) -> Measurement:
    """Run one trial."""
    fleet = build_fleet(trial)
    ticks = round(trial.seconds / TICK)
    for number in range(1, ticks + 1):
        run_until(fleet, number * TICK)
        tick_detectors(fleet, number)
    return _sum_up(fleet)


def _sum_up(fleet: ModelFleet) -> Measurement:
    trial = fleet.simulation
    share: float = 0
    if fleet.detected is not None:
        fair = (fleet.sent - fleet.sent_at_detection) / trial.size.targets
        share = fleet.sent_after_detection / max(1, fair)
    innocent = trial.size.targets - (trial.trouble not in INNOCENT)
    return Measurement(
        trial,
        None if fleet.detected is None else fleet.detected - ONSET,
        share,
        fleet.false_ejections,
        fleet.avoided,
        innocent * trial.seconds / HOUR,
        fleet.least_kept,
    )
