"""Measure detection by simulation: modelled requests in modelled time.

A few nodes, each only a detector, send requests to the targets of a service
and exchange evidence five times per second. Nothing here opens a socket or
reads a clock, and a seed gives the same figures every time.
"""

from typing import Final

from msgspec import Struct

from hillfield.detection.disturbances import HARMLESS, ONSET
from hillfield.detection.modelfleet import ModelFleet, build_fleet
from hillfield.detection.simulations import Simulation
from hillfield.detection.ticks import TICK, tick_detectors
from hillfield.detection.traffic import run_until

HOUR: Final = 3600


class Measurement(Struct, frozen=True):
    """Hold the results of one simulation.

    `detected` is the seconds from the onset to the last request that the
    faulty target got before all nodes had it out of rotation (None: never
    out); `late_share` is the work that it got after that, mostly by trials, as
    a share of a healthy target's; `false_ejections` is how often a node took
    a healthy target out of rotation, `avoided` how often one avoided the
    faulty target.
    """

    simulation: Simulation
    detected: float | None
    late_share: float
    false_ejections: int
    avoided: int
    target_hours: float
    least_kept: float


def run_simulation(simulation: Simulation) -> Measurement:
    """Run one simulation and measure it."""
    fleet = build_fleet(simulation)
    ticks = round(simulation.seconds / TICK)
    for number in range(1, ticks + 1):
        run_until(fleet, number * TICK)
        tick_detectors(fleet, number)
    return _sum_up(fleet)


def _sum_up(fleet: ModelFleet) -> Measurement:
    simulation = fleet.simulation
    share: float = 0
    if fleet.detected is not None:
        fair = (fleet.sent - fleet.sent_at_detection) / simulation.size.targets
        share = fleet.sent_after_detection / max(1, fair)
    healthy = simulation.size.targets - (simulation.disturbance not in HARMLESS)
    return Measurement(
        simulation,
        None if fleet.detected is None else fleet.detected - ONSET,
        share,
        fleet.false_ejections,
        fleet.avoided,
        healthy * simulation.seconds / HOUR,
        fleet.least_kept,
    )
