"""The bound on repeats over a whole fleet in modelled time."""

from types import MappingProxyType

from pytest import fixture, mark

from hillfield.repeats import RepeatKind
from hillfield.repeats.tests.fleet import BOUND, Fleet

SIZE = 100
SERVICE = 250
FEW = 15
USUAL = MappingProxyType({'till': SERVICE})
BOTH = MappingProxyType({'till': SERVICE, 'fees': FEW})
# What a window allows at the usual load.
WHOLE = BOUND.ratio * SERVICE * BOUND.window + BOUND.slack
SHED = 0.55


@fixture
def fleet():
    """Return a fleet whose nodes remember a whole window."""
    calm = Fleet(SIZE)
    calm.play(12, USUAL)
    return calm


def play_shedding(today):
    fleet = Fleet(SIZE, today=today)
    fleet.play(12, USUAL)
    fleet.play(10, USUAL, shed=SHED)
    return fleet


def test_most_of_the_bound_is_used_while_all_targets_shed():
    """Each node's own part left four tenths of the bound unused.

    All targets turned half of the work away for ten seconds; requests ended
    refused, because their node had used its part while others had not.
    """
    assert len(play_shedding(today=True).repeats['till']) < 0.7 * WHOLE
    fleet = play_shedding(today=False)
    assert len(fleet.repeats['till']) >= 0.9 * WHOLE
    assert fleet.find_worst('till') <= 0


def play_called(today, seed=1):
    fleet = Fleet(SIZE, ('till', 'fees'), seed, today=today)
    fleet.play(12, BOTH, calls=80)
    fleet.play(12, BOTH, shed=SHED, calls=150)
    return fleet


def test_each_nodes_own_part_breaks_the_bound_of_a_called_service():
    """Targets called a service that few clients ask.

    Each answered call let its node repeat another, and calls don't raise the
    bound: what all nodes sent together passed it.
    """
    assert play_called(today=True).find_worst('fees') > 0


@mark.parametrize('seed', range(4))
def test_calls_do_not_raise_the_bound_of_a_called_service(seed):
    fleet = play_called(today=False, seed=seed)
    assert fleet.find_worst('fees') <= 0
    assert fleet.find_worst('till') <= 0


def test_the_bound_holds_when_the_counting_node_is_killed(fleet):
    fleet.play(4, USUAL, shed=SHED)
    killed = fleet.find_lender('till')
    fleet.kill(killed)
    fleet.play(3, USUAL, shed=SHED)
    fleet.start(killed)
    fleet.play(12, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0
    # Loans go on: the node that has taken over lends what is left.
    assert fleet.count_repeats('till', fleet.now - 10) >= 0.8 * WHOLE


def test_a_counting_node_that_has_stood_still_lends_nothing_anew(fleet):
    fleet.play(2, USUAL, shed=SHED)
    fleet.freeze(fleet.find_lender('till'), 5)
    fleet.play(14, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0


def holds_loan(node):
    return node.local._find('till').loan.held > 1


def test_a_node_that_has_stood_still_does_not_use_old_loans(fleet):
    fleet.play(1, USUAL, shed=SHED)
    held = next(filter(holds_loan, fleet.nodes.values()))
    fleet.freeze(held.name, 5)
    fleet.play(4.8, USUAL, shed=SHED)
    own = BOUND.find_own(SIZE)
    taken = sum(
        held.local.take(fleet.now + 0.2, 'till', RepeatKind.SHED)
        for _ in range(20)
    )
    assert taken <= own
    fleet.play(12, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0


@mark.parametrize('seed', range(3))
def test_halves_that_are_cut_off_keep_to_their_parts(seed):
    fleet = Fleet(SIZE, seed=seed)
    fleet.play(12, USUAL)
    fleet.play(3, USUAL, shed=SHED)
    fleet.cut(range(SIZE // 2))
    fleet.play(30, USUAL, shed=SHED)
    late = fleet.count_repeats('till', fleet.now - 10)
    fleet.cut(range(SIZE // 2), 0)
    fleet.play(12, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0
    assert late >= 0.5 * WHOLE


def test_the_bound_holds_when_all_nodes_start_again(fleet):
    fleet.play(6, USUAL, shed=SHED)
    for name in tuple(fleet.nodes):
        fleet.start(name)
    fleet.play(15, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0


def test_nodes_that_restart_one_by_one_are_lent_to(fleet):
    fleet.play(2, USUAL, shed=SHED)
    since = fleet.now
    for number in range(12):
        fleet.start(f'n{number}')
        fleet.play(1, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0
    assert fleet.count_repeats('till', since) >= 0.7 * WHOLE


def test_the_bound_holds_while_datagrams_get_lost():
    fleet = Fleet(SIZE, lost=0.12)
    fleet.play(12, USUAL)
    fleet.play(10, USUAL, shed=SHED)
    assert fleet.find_worst('till') <= 0
    assert len(fleet.repeats['till']) >= 0.9 * WHOLE


def test_a_first_failure_is_retried_at_once(fleet):
    now = fleet.now
    ready = [
        node.local.can_take(now, 'till', RepeatKind.FAILED)
        for node in fleet.nodes.values()
    ]
    assert all(ready)


def test_a_node_that_hears_nobody_retries_its_own_part(fleet):
    fleet.cut([5], group=7)
    fleet.play(20, {}, 0)
    local = fleet.nodes['n5'].local
    ask = (fleet.now, 'till', RepeatKind.FAILED)
    own = sum(local.take(*ask) for _ in range(50))
    assert 1 <= own <= 2 + WHOLE / SIZE


def test_the_bound_falls_with_the_requests(fleet):
    """What a crowd's requests allowed is gone once they are."""
    fleet.play(10, {'till': 4 * SERVICE}, shed=0.2)
    fleet.play(25, {'till': SERVICE / 5}, shed=0.9)
    assert fleet.find_worst('till') <= 0


@mark.parametrize('size', [30, 300])
def test_a_node_sends_no_more_where_there_are_more_nodes(size):
    fleet = Fleet(size)
    fleet.play(5, {'till': 2.5 * size})
    fleet.datagrams.clear()
    fleet.play(4, {'till': 2.5 * size}, shed=SHED)
    assert len(fleet.datagrams) / size / 4 <= 12


def test_hedges_do_not_use_up_what_retries_need(fleet):
    fleet.play(10, USUAL, shed=SHED, kind=RepeatKind.HEDGE)
    hedges = len(fleet.repeats['till'])
    assert hedges <= 0.75 * WHOLE
    fleet.play(2, USUAL, shed=SHED)
    assert len(fleet.repeats['till']) - hedges >= 0.2 * WHOLE
