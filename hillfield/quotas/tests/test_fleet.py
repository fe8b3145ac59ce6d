"""Limits over a whole simulated fleet."""

from pytest import approx, fixture, mark

from hillfield.quotas.tests.fleet import Fleet, compute_bound, make_account

LARGE = make_account('large', 120)
MIDDLE = make_account('middle', 20)
SMALL = make_account('small', 1.6)
ACCOUNTS = (LARGE, MIDDLE, SMALL)
USUAL = 0.62
SIZE = 93


def compute_rates(factor=1.0, **more):
    rates = {
        account.name: account.rate * USUAL * factor for account in ACCOUNTS
    }
    return {**rates, **more}


@fixture
def fleet():
    return Fleet(SIZE, ACCOUNTS)


def test_requests_under_the_limit_are_not_refused(fleet):
    fleet.play(30, compute_rates())
    assert not fleet.refused['large']
    assert not fleet.refused['middle']
    assert fleet.refused['small'] <= 0.02 * fleet.asked['small']


@mark.parametrize('seed', range(4))
@mark.parametrize('times', [2, 4.1, 7.5])
def test_an_account_that_sends_much_more_is_held_to_its_limit(seed, times):
    fleet = Fleet(SIZE, ACCOUNTS, seed)
    fleet.play(6, compute_rates())
    fleet.play(8, compute_rates(times))
    fleet.play(4, compute_rates())
    for account in ACCOUNTS:
        # The worst of three seeds was 0.93 of the permitted number.
        assert fleet.find_worst(account.name) <= 0.96 * compute_bound(account)


def test_a_surge_gets_about_the_limit(fleet):
    fleet.play(3, compute_rates())
    fleet.play(20, compute_rates(3))
    for account in (LARGE, MIDDLE):
        late = [at for at in fleet.passed[account.name] if at > 8]
        assert len(late) == approx(15 * account.rate, 0.07)


def test_partitioned_nodes_use_their_fraction_of_the_limit():
    fleet = Fleet(30, ACCOUNTS)
    fleet.play(4, compute_rates(5))
    fleet.cut(range(15))
    fleet.play(10, compute_rates(5))
    fleet.cut(range(15), 0)
    fleet.play(6, compute_rates(5))
    for account in ACCOUNTS:
        assert fleet.find_worst(account.name) <= compute_bound(account)


def test_the_limit_holds_when_all_nodes_restart(fleet):
    fleet.play(6, compute_rates(4))
    fleet.restart(range(SIZE))
    fleet.play(8, compute_rates(4))
    for account in ACCOUNTS:
        assert fleet.find_worst(account.name) <= compute_bound(account)


def test_a_lower_limit_binds_within_a_window(fleet):
    fleet.play(6, compute_rates())
    lower = make_account('large', 30)
    fleet.adopt(lower)
    fleet.play(2.5, compute_rates())
    fleet.passed['large'].clear()
    fleet.play(10, compute_rates())
    assert fleet.find_worst('large') <= compute_bound(lower, 0, 0)


def test_an_account_that_sends_less_again_is_soon_admitted(fleet):
    fleet.play(3, compute_rates())
    fleet.play(6, compute_rates(5))
    fleet.play(2, compute_rates())
    before = fleet.refused['large']
    fleet.play(10, compute_rates())
    assert fleet.refused['large'] - before <= 2


def test_the_limit_holds_while_datagrams_get_lost():
    fleet = Fleet(SIZE, ACCOUNTS, lost=0.12)
    fleet.play(4, compute_rates())
    fleet.play(10, compute_rates(5))
    for account in ACCOUNTS:
        assert fleet.find_worst(account.name) <= compute_bound(account)


def test_an_account_that_moves_to_other_nodes_is_not_refused(fleet):
    fleet.play(6, compute_rates(), over=range(10))
    fleet.play(6, compute_rates(), over=range(50, 60))
    assert not fleet.refused['large']


def test_a_node_sends_no_more_where_there_are_more_nodes():
    few = Fleet(30, ACCOUNTS)
    wide = [make_account(one.name, 10 * one.rate) for one in ACCOUNTS]
    many = Fleet(300, wide)
    few.play(10, {'large': 30, 'middle': 3, 'small': 1})
    many.play(10, {'large': 300, 'middle': 30, 'small': 10})
    assert many.messages / 300 <= 1.2 * few.messages / 30


def test_counts_of_accounts_that_are_gone_are_dropped(fleet):
    fleet.play(5, compute_rates())
    fleet.play(70, {'large': 10})
    kept = [len(node.local) for node in fleet.nodes.values()]
    assert max(kept) == 1
