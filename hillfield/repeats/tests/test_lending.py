"""What a counting node lends."""

from pytest import fixture

from hillfield.repeats import LoanRow, RepeatBound, Report, Roster, UseRow
from hillfield.repeats.lenders import Lenders
from hillfield.repeats.lending import DEAF_AFTER, REPORT_KEPT, Lender
from hillfield.repeats.messages import RouteRow

BOUND = RepeatBound(0.2, 10, 40)
OLD = 60.0
NAMES = ('a', 'b', 'c', 'd')
ROSTER = Roster(frozenset(NAMES), {})
# Own parts are 5 and 2 a node, so 12 are left for loans.
POOL = 12
# What 40 requests a slot allow: loans may be used in a window that has lost its
# first two slots, and a twentieth is kept back.
BACKED = int(0.95 * 0.2 * 40 * 6)


def make_row(number=1, needed=0, spent=(), routes=(), spare=0):
    return UseRow('till', number, spent, 0, needed, spare, routes)


def keep_reporting(lender, names, first, last, roster=ROSTER):
    for moment in range(first, last):
        for name in names:
            report(lender, name, make_row(moment), float(moment), roster)


@fixture
def lender():
    return Lender(BOUND)


def report(lender, name, row, now=100.0, roster=ROSTER):
    told = Report(name, 1, OLD, (row,))
    return lender.take(now, told, row, roster)


def restart(lender, name, now=100.0, age=0, roster=ROSTER):
    """Report as a later life that asks for 9; return what it may hold."""
    row = make_row(1, needed=9)
    told = Report(name, 2, age, (row,))
    return lender.take(now, told, row, roster).held


def ask(lender, name, needed=100, **more):
    """Return what a node may hold that has reported once."""
    return report(lender, name, make_row(2, needed, **more)).held


def report_all(lender, now=100.0, number=1, **more):
    for name in NAMES:
        report(lender, name, make_row(number, **more), now)


def test_what_nodes_not_yet_heard_may_have_used_is_not_lent(lender):
    """A node may use 6 of 12, so nothing is left until three are heard."""
    for name in 'ab':
        assert ask(lender, name) == 0
    assert ask(lender, 'c') == 6
    assert ask(lender, 'd') == 6


def test_all_loans_together_stay_within_what_is_left(lender):
    report_all(lender)
    lent = [ask(lender, name) for name in NAMES]
    assert sum(lent) == POOL
    # No node gets more than twice an equal share.
    assert max(lent) == 6


def test_what_was_spent_in_the_window_is_not_lent_again(lender):
    report_all(lender, spent=(0, 0, 0, 0, 0, 0, 0, 2))
    assert ask(lender, 'a') <= POOL - 6


def test_a_loan_whose_answer_is_lost_is_free_again(lender):
    report_all(lender)
    assert ask(lender, 'a') == 6
    report(lender, 'a', make_row(3))
    assert ask(lender, 'b') == 6
    assert ask(lender, 'c') == 6


def test_a_report_that_comes_late_is_void(lender):
    report_all(lender, number=5)
    assert report(lender, 'a', make_row(4, needed=1)) is None


def test_a_node_that_falls_silent_counts_as_one_that_has_used_most(lender):
    report_all(lender)
    late = 100 + REPORT_KEPT + 0.5
    keep_reporting(lender, 'abc', 101, 104)
    row = make_row(104, needed=9)
    lent = [report(lender, name, row, late).held for name in 'abc']
    assert sum(lent) == POOL / 2


def test_a_restarted_node_has_used_what_it_had(lender):
    report_all(lender)
    assert ask(lender, 'a') == 6
    assert restart(lender, 'a') == 0
    assert ask(lender, 'b') == 6
    assert ask(lender, 'c') == 0


def test_a_node_that_nobody_remembers_has_used_most(lender):
    assert not any(restart(lender, name, age=3) for name in NAMES)


def test_a_process_that_stood_still_takes_no_reports_from_before(lender):
    report_all(lender)
    woken = 105.0
    lender.pass_time(woken)
    row = make_row(2, needed=1)
    assert report(lender, 'a', row, woken) is None
    assert not report(lender, 'a', row, woken + DEAF_AFTER).held


def test_requests_of_accounts_raise_the_bound(lender):
    routes = (RouteRow('', 0, (10,) * 16),)
    report_all(lender, routes=routes)
    lent = [ask(lender, name, routes=routes) for name in NAMES]
    assert sum(lent) == POOL + BACKED


def test_requests_that_may_be_calls_do_not(lender):
    report_all(lender, routes=(RouteRow('check', 0, (10,) * 16),))
    assert report(lender, 'a', make_row(2)).room == 1


def test_requests_that_clients_must_have_sent_prove_their_route(lender):
    routes = (RouteRow('read', 2, (10,) * 16),)
    report_all(lender, routes=routes)
    lent = [ask(lender, name, routes=routes) for name in NAMES]
    assert sum(lent) == POOL + BACKED


def test_calls_of_repeated_runs_use_up_the_bound(lender):
    routes = (RouteRow('check', 0, (10,) * 16, (2, 1)),)
    report_all(lender, routes=routes)
    assert ask(lender, 'a', 1, routes=routes) == 0


def test_what_a_node_only_keeps_by_is_lent_while_there_is_room(lender):
    report_all(lender)
    assert ask(lender, 'a', 0, spare=3) == 3
    assert ask(lender, 'b') == 6
    assert ask(lender, 'c', 0, spare=3) == 1
    assert ask(lender, 'd', 9) == 2


def report_shortage(lenders, number):
    row = make_row(number, needed=9, spent=(number,))
    changes: list[LoanRow] = []
    for name in NAMES:
        told = Report(name, 1, OLD, (row,))
        answers = lenders.take(100 + number / 10, told, ROSTER)
        changes += lenders.list_changes(told, answers)
    return [change.service for change in changes]


def test_a_bound_that_is_used_up_is_told_once():
    lenders = Lenders(BOUND)
    told = [report_shortage(lenders, number) for number in range(1, 6)]
    assert sum(told, []) == ['till']
    free = (LoanRow('till', 9, 0, 0.5),)
    last = Report('a', 1, OLD, (make_row(9),))
    assert tuple(lenders.list_changes(last, free)) == free
    assert not tuple(lenders.list_changes(last, free))


def test_nodes_that_join_leave_loans_to_others(lender):
    """Hosts were replaced one by one, and all retries ended for their time."""
    keep_reporting(lender, NAMES, 100, 115)
    wider = Roster(ROSTER.alive | set('efgh'), {})
    row = make_row(200, needed=1)
    assert report(lender, 'a', row, 115, wider).held
    joined = [restart(lender, name, 116, 2, wider) for name in 'efgh']
    assert sum(joined) >= POOL / 2


def test_a_node_that_comes_back_from_a_cut_has_used_most(lender):
    """Others may have lent to it meanwhile, and it has forgotten."""
    keep_reporting(lender, NAMES, 100, 115)
    cut = Roster(frozenset('abc'), {'d': 14.0})
    keep_reporting(lender, 'abc', 115, 130, cut)
    assert not restart(lender, 'd', 130, 2)
