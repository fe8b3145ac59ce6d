"""Test detection on modelled requests."""

import pytest
from msgspec.structs import replace

from hillfield.detection.disturbances import Disturbance
from hillfield.detection.measurement import run_simulation
from hillfield.detection.simulations import (
    KESTRELMOOR,
    LOST_PROPERTY,
    DetectorKind,
    Simulation,
)
from hillfield.detection.summaries import plan_simulations, summarise

SEEDS = (0, 1)


def run(size, disturbance, detector=DetectorKind.HEALTH, seconds=12):
    planned = plan_simulations(size, disturbance, detector, 1, SEEDS)
    return summarise(
        tuple(
            run_simulation(replace(each, seconds=seconds)) for each in planned
        ),
    )


@pytest.mark.parametrize('size', [KESTRELMOOR, LOST_PROPERTY])
@pytest.mark.parametrize(
    'disturbance',
    [Disturbance.SLOW_FIVEFOLD, Disturbance.WRONG_ALWAYS, Disturbance.STALL],
)
def test_faulty_target_gets_no_work_after_two_seconds(size, disturbance):
    summary = run(size, disturbance)
    assert summary.p99 is not None
    assert summary.p99 <= 2
    assert summary.false_ejections == 0


@pytest.mark.parametrize(
    'disturbance',
    [
        Disturbance.SLOWDOWN,
        Disturbance.BURSTS,
        Disturbance.SOME_ERRORS,
        Disturbance.ONE_WAY,
        Disturbance.FAILING_PROBES,
        Disturbance.COLD_START,
        Disturbance.MIXED_ROUTES,
    ],
)
def test_disturbance_without_a_faulty_target_ejects_none(disturbance):
    assert run(KESTRELMOOR, disturbance).false_ejections == 0


def test_baseline_ejects_healthy_targets_when_probes_fail():
    summary = run(
        KESTRELMOOR, Disturbance.FAILING_PROBES, DetectorKind.BASELINE
    )
    assert summary.false_ejections > 0


def test_equal_seeds_give_equal_measurements():
    simulation = Simulation(
        KESTRELMOOR, Disturbance.SLOW_FIVEFOLD, 7, seconds=8
    )
    assert run_simulation(simulation) == run_simulation(simulation)
