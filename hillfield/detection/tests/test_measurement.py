"""Test detection on modelled requests."""

import pytest
from msgspec.structs import replace

from hillfield.detection.measurement import measure
from hillfield.detection.summaries import plan_trials, summarise
from hillfield.detection.trials import (
    KESTRELMOOR,
    LOST_PROPERTY,
    BoardKind,
    Trial,
)
from hillfield.detection.trouble import Trouble

SEEDS = (0, 1)


def run(size, disturbance, detector=BoardKind.HEALTH, seconds=12):
    planned = plan_trials(size, disturbance, detector, 1, SEEDS)
    return summarise(
        tuple(measure(replace(each, seconds=seconds)) for each in planned),
    )


@pytest.mark.parametrize('size', [KESTRELMOOR, LOST_PROPERTY])
@pytest.mark.parametrize(
    'disturbance',
    [Trouble.SLOW_FIVEFOLD, Trouble.WRONG_ALWAYS, Trouble.STALL],
)
def test_faulty_target_gets_no_work_after_two_seconds(size, disturbance):
    summary = run(size, disturbance)
    assert summary.p99 is not None
    assert summary.p99 <= 2
    assert summary.false_ejections == 0


@pytest.mark.parametrize(
    'disturbance',
    [
        Trouble.SLOWDOWN,
        Trouble.BURSTS,
        Trouble.SOME_ERRORS,
        Trouble.ONE_WAY,
        Trouble.FAILING_PROBES,
        Trouble.COLD_START,
        Trouble.MIXED_ROUTES,
    ],
)
def test_disturbance_without_a_faulty_target_ejects_none(disturbance):
    assert run(KESTRELMOOR, disturbance).false_ejections == 0


def test_baseline_ejects_healthy_targets_when_probes_fail():
    summary = run(KESTRELMOOR, Trouble.FAILING_PROBES, BoardKind.BASELINE)
    assert summary.false_ejections > 0


def test_equal_seeds_give_equal_measurements():
    simulation = Trial(KESTRELMOOR, Trouble.SLOW_FIVEFOLD, 7, seconds=8)
    assert measure(simulation) == measure(simulation)
