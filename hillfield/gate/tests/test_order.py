"""Properties of the queue order, without a gate."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from hillfield.gate.order import (
    Rank,
    compute_order,
    is_call,
    list_outranked,
    select_displaced,
)

EXAMPLES = settings(derandomize=True, database=None, deadline=None)
ACCOUNTS = ('till', 'desk', 'shop')
moments = st.integers(0, 5).map(float)
costs = st.sampled_from((0.1, 0.3, 1.0))


def drop_call(rank):
    """Return the rank, without the mark of a call if it names an account."""
    return replace(rank, service_call=rank.service_call and not rank.account)


def list_ranks(priorities, accounts):
    """Return a strategy for lists of ranks."""
    built = st.builds(
        Rank,
        late=st.booleans(),
        long=st.booleans(),
        priority=priorities,
        expires=moments,
        account=accounts,
        service_call=st.booleans(),
        cost=costs,
    )
    return st.lists(built.map(drop_call), min_size=1, max_size=8)


plain = list_ranks(st.just(3), st.just(''))
ranked = list_ranks(
    st.integers(0, 2),
    st.sampled_from(('', *ACCOUNTS)),
)
unnamed = list_ranks(st.integers(0, 2), st.just(''))
usages = st.dictionaries(
    st.sampled_from(('', *ACCOUNTS)),
    st.floats(0, 20),
    max_size=4,
)


def list_order(ranks, usage):
    orders = compute_order(ranks, usage)
    return sorted(range(len(ranks)), key=orders.__getitem__)


@EXAMPLES
@given(ranks=plain, usage=usages)
def test_without_ranks_and_accounts_short_goes_first_then_expiry(ranks, usage):
    """Without priorities and accounts, length and expiry decide."""
    old = [
        (rank.late, rank.long, rank.priority, rank.expires, number)
        for number, rank in enumerate(ranks)
    ]
    before = sorted(range(len(ranks)), key=old.__getitem__)
    assert list_order(ranks, usage) == before


@EXAMPLES
@given(ranks=plain, usage=usages)
def test_without_ranks_and_accounts_no_request_is_displaced(ranks, usage):
    orders = compute_order(ranks, usage)
    assert not list_outranked(ranks, orders)
    assert select_displaced(ranks, orders) is None


@EXAMPLES
@given(ranks=ranked, usage=usages)
def test_each_request_has_one_position(ranks, usage):
    orders = compute_order(ranks, usage)
    assert [order.number for order in orders] == list(range(len(ranks)))
    assert len(set(orders)) == len(ranks)


@EXAMPLES
@given(ranks=ranked, usage=usages)
def test_of_requests_in_time_the_more_urgent_goes_first(ranks, usage):
    by_account = any(rank.account for rank in ranks)
    order = [ranks[position] for position in list_order(ranks, usage)]
    new = [rank for rank in order if not is_call(rank, by_account)]
    priorities = [(rank.late, rank.priority) for rank in new]
    assert priorities == sorted(priorities)


@EXAMPLES
@given(ranks=ranked, usage=usages, chosen=st.integers(0, 7))
def test_a_more_urgent_request_is_never_served_later(ranks, usage, chosen):
    """A higher priority never puts a request further back."""
    position = chosen % len(ranks)
    raised = list(ranks)
    more_urgent = ranks[position].priority - 1
    raised[position] = replace(ranks[position], priority=more_urgent)
    before = list_order(ranks, usage).index(position)
    after = list_order(raised, usage).index(position)
    assert after <= before


@EXAMPLES
@given(ranks=ranked, usage=usages)
def test_a_call_goes_before_all_new_work_of_accounts(ranks, usage):
    by_account = any(rank.account for rank in ranks)
    orders = compute_order(ranks, usage)
    for call, rank in zip(orders, ranks, strict=True):
        if not by_account or not is_call(rank, by_account):
            continue
        assert not any(
            other < call
            for other, new in zip(orders, ranks, strict=True)
            if new.late == rank.late and not is_call(new, by_account)
        )


@EXAMPLES
@given(ranks=unnamed, usage=usages)
def test_no_less_urgent_new_work_goes_before_a_call(ranks, usage):
    orders = compute_order(ranks, usage)
    least = min(rank.priority for rank in ranks)
    for call, rank in zip(orders, ranks, strict=True):
        if not is_call(rank, by_account=False):
            continue
        assert not any(
            other < call
            for other, new in zip(orders, ranks, strict=True)
            if new.late == rank.late
            and new.priority > least
            and not is_call(new, by_account=False)
        )


@EXAMPLES
@given(ranks=ranked, usage=usages)
def test_no_request_is_displaced_by_a_less_urgent_one_and_no_call_ever(
    ranks,
    usage,
):
    by_account = any(rank.account for rank in ranks)
    displaced = select_displaced(ranks, compute_order(ranks, usage))
    if displaced is None:
        return
    newcomer = ranks[-1]
    assert not is_call(ranks[displaced], by_account)
    assert (
        is_call(newcomer, by_account)
        or ranks[displaced].priority >= newcomer.priority
    )


@EXAMPLES
@given(ranks=ranked, usage=usages)
def test_of_equal_rank_the_account_with_more_usage_is_displaced(ranks, usage):
    """No account below its share is declined for one above it."""
    by_account = any(rank.account for rank in ranks)
    orders = compute_order(ranks, usage)
    displaced = select_displaced(ranks, orders)
    if displaced is None or is_call(ranks[-1], by_account):
        return
    if (orders[displaced].late, orders[displaced].level) == (
        orders[-1].late,
        orders[-1].level,
    ):
        assert orders[displaced].used > orders[-1].used
        assert ranks[displaced].account != ranks[-1].account


def test_equal_accounts_alternate():
    ranks = [Rank(account=name, cost=1) for name in 'aaabb']
    assert list_order(ranks, {}) == [0, 3, 1, 4, 2]


def test_an_account_with_much_usage_waits_for_the_others():
    ranks = [Rank(account=name, cost=1) for name in 'abb']
    assert list_order(ranks, {'a': 1.5}) == [1, 2, 0]
