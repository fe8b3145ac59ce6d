"""The modelled deployment of services that call each other."""

from statistics import mean

from msgspec.structs import replace
from pytest import approx, fixture

from hillfield.experiments.calling.deployment import CLAIMS, Spells
from hillfield.experiments.calling.measure import measure
from hillfield.experiments.calling.play import play
from hillfield.experiments.registry import Options

WELL = replace(CLAIMS, spells=Spells(9, 0, 0))
SECONDS = 15
# One play's loss scatters by 0.04, so that the mean of three says little.
SEEDS = 12
# Bytes that may cross in so many seconds.
MOST_ACROSS = 3_500_000


@fixture(scope='module')
def hanging():
    return [play(CLAIMS, SECONDS, seed) for seed in range(SEEDS)]


def test_equal_seeds_give_equal_outcomes(hanging):
    again = play(CLAIMS, SECONDS, 1)
    assert again.counts == hanging[1].counts
    assert again.crossing == hanging[1].crossing


def test_well_targets_serve_nearly_all():
    """What is left is errors of the targets' own, 1.2 in 100 of all runs."""
    outcome = play(WELL, SECONDS, 1)
    assert outcome.share('ok', 'late') == approx(0.98, abs=0.02)
    assert outcome.share('refused') == approx(0, abs=0.005)


def test_targets_that_hang_cost_few_requests(hanging):
    """While gates held back well targets as well 11 in 100 were lost."""
    lost = [outcome.share('refused', 'failed') for outcome in hanging]
    assert mean(lost) == approx(0.05, abs=0.04)


def test_few_bytes_cross(hanging):
    """Asking full gates across cost 16 MB in 37 s, knowing room a third."""
    across = [outcome.crossing.total() for outcome in hanging]
    assert mean(across) <= MOST_ACROSS


def test_the_report_tells_of_each_kind_and_load():
    report = measure(Options(quick=True))
    kinds = [row[0] for row in report.tables[0].rows]
    assert kinds[:2] == ['policy-lookup', 'loss-filing']
    assert len(report.tables) == 3
    assert len(report.tables[-1].rows) == 2
