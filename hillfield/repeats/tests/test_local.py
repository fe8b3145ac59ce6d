"""What one node uses, and what it reports."""

from types import MappingProxyType

from pytest import fixture

from hillfield.repeats import LoanRow, LocalUse, RepeatBound, RepeatKind
from hillfield.repeats import Sighting
from hillfield.repeats.lending import REPORT_KEPT

BOUND = RepeatBound(0.2, 10, 40)
HERE = MappingProxyType({'till': 'a'})
START = 100.0
NOW = START + 20


@fixture
def local():
    use = LocalUse(BOUND, START, 0)
    use.follow(20)
    return use


def lend(local, held, now=NOW, room=1.0, lenders=None):
    row = local.list_due(now, lenders or HERE)[0]
    answer(local, row, held, now, room)
    return row


def take(local, kind=RepeatKind.SHED, now=NOW, times=50):
    return sum(local.take(now, 'till', kind) for _ in range(times))


def answer(local, row, held, now, room=1.0):
    local.adopt(now, (LoanRow('till', row.number, held, room),))


def test_a_node_alone_has_its_own_part(local):
    """A slack of 40 over 20 nodes leaves one repeat a node and window."""
    assert take(local) == 1
    assert take(local, now=NOW + 9) == 0
    assert take(local, now=NOW + 10.1) == 1


def test_a_node_that_has_just_started_has_less(local):
    local.follow(5)
    assert take(local, now=START + 1) == 1
    assert take(local, now=START + 2) == 1
    assert take(local, now=START + 9) == 0


def test_a_node_that_has_heard_nobody_yet_repeats_nothing(local):
    local.follow(1)
    assert take(local, now=START + 1) == 0


def test_loans_are_used_first(local):
    lend(local, 3)
    assert take(local, times=3) == 3
    assert local.can_take(NOW, 'till', RepeatKind.FAILED)
    assert take(local) == 1


def test_a_loan_ends(local):
    lend(local, 3)
    assert take(local, now=NOW + BOUND.loan) == 1


def test_an_answer_that_comes_late_is_void(local):
    row = local.list_due(NOW, HERE)[0]
    late = NOW + BOUND.loan + 1
    answer(local, row, 3, late)
    assert take(local, now=late) == 1


def test_an_answer_to_an_earlier_report_is_void(local):
    row = local.list_due(NOW, HERE)[0]
    local.list_due(NOW + 1, HERE)
    answer(local, row, 3, NOW + 1)
    assert take(local, now=NOW + 1) == 1


def test_what_was_taken_since_the_report_is_not_lent_again(local):
    lend(local, 3)
    row = local.list_due(NOW + 1, HERE)[0]
    assert row.held == 3
    assert take(local, now=NOW + 1, times=2) == 2
    answer(local, row, 3, NOW + 1)
    assert take(local, now=NOW + 1) == 1 + 1


def test_another_counting_node_lends_nothing_for_a_while(local):
    """Both nodes that count for a moment might lend the same."""
    lend(local, 0)
    soon = NOW + REPORT_KEPT - 1
    row = lend(local, 3, soon, lenders={'till': 'b'})
    assert (row.needed, row.spare) == (0, 0)
    assert take(local, now=soon) == 1
    later = NOW + REPORT_KEPT + 1
    lend(local, 3, later, lenders={'till': 'b'})
    assert take(local, now=later) == 3


def test_hedges_need_most_room(local):
    lend(local, 9, room=0.3)
    assert take(local, RepeatKind.HEDGE) == 0
    assert take(local, RepeatKind.FAILED, times=1) == 1
    lend(local, 9, NOW + 1, room=0.5)
    assert take(local, RepeatKind.HEDGE, NOW + 1) == 9


def test_work_that_has_not_run_may_use_the_last(local):
    lend(local, 2, room=0)
    # One of its own, and none of what is lent.
    assert take(local, RepeatKind.FAILED) == 1
    assert take(local, RepeatKind.SHED) == 2


def test_hedges_leave_an_own_repeat_to_others(local):
    local.follow(5)
    assert take(local, RepeatKind.HEDGE) == 3
    assert take(local, RepeatKind.SHED) == 1


def test_a_report_tells_what_was_spent_and_is_needed(local):
    lend(local, 5)
    assert take(local, times=4) == 4
    row = local.list_due(NOW + 1, HERE)[0]
    assert (row.spent[0], row.held) == (4, 1)
    assert 1 <= row.needed <= 8


def test_requests_are_reported_by_route(local):
    for _ in range(3):
        local.note_request(NOW, Sighting('till', ''))
    for part in (0.5, 0.5, 1):
        local.note_request(NOW, Sighting('till', 'check', False, part))
    local.note_request(NOW, Sighting('till', 'check', proof=True))
    whose, calls = local.list_due(NOW, HERE)[0].routes
    assert (whose.route, whose.requests) == ('', (3,))
    assert (calls.route, calls.requests, calls.proofs) == ('check', (4,), 1)
    assert calls.repeated[0] == 2


def test_reports_are_hurried_only_where_nothing_is_left(local):
    lend(local, 2)
    assert take(local, times=1) == 1
    assert not local.list_due(NOW + 0.6, HERE)
    assert take(local, times=2) == 2
    assert local.list_due(NOW + 0.6, HERE)


def test_reports_are_hurried_less_where_nothing_is_left_to_lend(local):
    lend(local, 0, room=0)
    take(local, times=3)
    assert not local.list_due(NOW + 0.3, HERE)
    assert local.list_due(NOW + 0.6, HERE)
