"""Limits over a whole fleet in modelled time."""

from pytest import approx, fixture, mark

from hillfield.quotas.tests.fleet import Fleet, find_bound, make_account

LARGE = make_account('large', 120)
MIDDLE = make_account('middle', 20)
SMALL = make_account('small', 1.6)
ACCOUNTS = (LARGE, MIDDLE, SMALL)
USUAL = 0.62
SIZE = 93


def find_rates(factor=1.0, **more):
    rates = {
        account.name: account.rate * USUAL * factor for account in ACCOUNTS
    }
    return {**rates, **more}


@fixture
def fleet():
    return Fleet(SIZE, ACCOUNTS)


def test_what_is_under_the_limit_is_not_refused(fleet):
    fleet.play(30, find_rates())
    assert not fleet.refused['large']
    assert not fleet.refused['middle']
    assert fleet.refused['small'] <= 0.02 * fleet.asked['small']


@mark.parametrize('seed', range(4))
@mark.parametrize('times', [2, 4.1, 7.5])
def test_an_account_that_sends_much_more_is_held_to_its_limit(seed, times):
    fleet = Fleet(SIZE, ACCOUNTS, seed)
    fleet.play(6, find_rates())
    fleet.play(8, find_rates(times))
    fleet.play(4, find_rates())
    for account in ACCOUNTS:
        # 0.93 of what is granted in the worst of three seeds.
        assert fleet.worst(account.name) <= 0.96 * find_bound(account)


def test_a_crowd_at_the_limit_gets_about_what_it_may(fleet):
    fleet.play(3, find_rates())
    fleet.play(20, find_rates(3))
    for account in (LARGE, MIDDLE):
        late = [at for at in fleet.passed[account.name] if at > 8]
        assert len(late) == approx(15 * account.rate, 0.07)


def test_nodes_that_are_cut_off_keep_to_their_part():
    fleet = Fleet(30, ACCOUNTS)
    fleet.play(4, find_rates(5))
    fleet.cut(range(15))
    fleet.play(10, find_rates(5))
    fleet.cut(range(15), 0)
    fleet.play(6, find_rates(5))
    for account in ACCOUNTS:
        assert fleet.worst(account.name) <= find_bound(account)


def test_the_limit_holds_when_all_nodes_start_again(fleet):
    fleet.play(6, find_rates(4))
    fleet.restart(range(SIZE))
    fleet.play(8, find_rates(4))
    for account in ACCOUNTS:
        assert fleet.worst(account.name) <= find_bound(account)


def test_a_lower_limit_binds_within_a_window(fleet):
    fleet.play(6, find_rates())
    lower = make_account('large', 30)
    fleet.adopt(lower)
    fleet.play(2.5, find_rates())
    fleet.passed['large'].clear()
    fleet.play(10, find_rates())
    assert fleet.worst('large') <= find_bound(lower, 0, 0)


def test_an_account_that_asks_less_again_is_soon_let_through(fleet):
    fleet.play(3, find_rates())
    fleet.play(6, find_rates(5))
    fleet.play(2, find_rates())
    before = fleet.refused['large']
    fleet.play(10, find_rates())
    assert fleet.refused['large'] - before <= 2


def test_the_limit_holds_while_datagrams_get_lost():
    fleet = Fleet(SIZE, ACCOUNTS, lost=0.12)
    fleet.play(4, find_rates())
    fleet.play(10, find_rates(5))
    for account in ACCOUNTS:
        assert fleet.worst(account.name) <= find_bound(account)


def test_an_account_that_moves_to_other_nodes_is_not_refused(fleet):
    fleet.play(6, find_rates(), over=range(10))
    fleet.play(6, find_rates(), over=range(50, 60))
    assert not fleet.refused['large']


def test_a_node_sends_no_more_where_there_are_more_nodes():
    few = Fleet(30, ACCOUNTS)
    wide = [make_account(one.name, 10 * one.rate) for one in ACCOUNTS]
    many = Fleet(300, wide)
    few.play(10, {'large': 30, 'middle': 3, 'small': 1})
    many.play(10, {'large': 300, 'middle': 30, 'small': 10})
    assert many.messages / 300 <= 1.2 * few.messages / 30


def test_counts_of_accounts_that_are_gone_are_dropped(fleet):
    fleet.play(5, find_rates())
    fleet.play(70, {'large': 10})
    kept = [len(node.local) for node in fleet.nodes.values()]
    assert max(kept) == 1
