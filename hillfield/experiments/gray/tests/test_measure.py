"""How onsets on real nodes are summed up and checked."""

from hillfield.detection.simulations import KESTRELMOOR
from hillfield.experiments.gray.events import Removal
from hillfield.experiments.gray.innocence import Calm
from hillfield.experiments.gray.measure import (
    Findings,
    check_faults,
    check_innocence,
    make_fault_table,
)
from hillfield.experiments.gray.plans import Fault, Innocence
from hillfield.experiments.gray.rounds import Sighting

REMOVAL = Removal('node-1', 'kestrelmoor', 't', 1, False, '3 of 3 hung')


def find(*seconds, late=0):
    return Findings(
        tuple(
            Sighting(KESTRELMOOR.name, Fault.STALL, each, late, ())
            for each in seconds
        ),
        (),
    )


def list_broken(own, plain):
    return {
        check.name.partition(': ')[2]
        for check in check_faults(own, plain)
        if check.name.startswith('stall at kestrelmoor') and not check.held
    }


def test_bounds_hold_for_soon_and_rare_traffic():
    assert list_broken(find(0.3, 0.5), find(4)) == set()


def test_target_that_stays_breaks_the_bounds_of_time():
    assert list_broken(find(0.3, None), find(None)) == {
        'median within 1 s',
        'slowest within 2 s',
    }


def test_late_traffic_and_a_quick_baseline_break_their_bounds():
    assert list_broken(find(0.5, late=0.02), find(1)) == {
        'late',
        '3 times sooner than the baseline',
    }


def test_table_has_a_line_per_service_and_fault():
    rows = make_fault_table(find(0.5), find(None)).rows
    stall = next(row for row in rows if row[1] is Fault.STALL)
    assert stall == ('kestrelmoor', 'stall', 1, 0.5, 0.5, 0, 0, float('inf'))


def test_removal_without_fault_breaks_the_check():
    calm = Calm('kestrelmoor', Innocence.BURSTS, 1, (REMOVAL,))
    checks = check_innocence(Findings((), (calm,)))
    assert [check.held for check in checks] == [False]
    assert checks[0].detail == '3 of 3 hung'
