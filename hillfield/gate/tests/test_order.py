"""Who goes first at a gate: properties of the order, without a gate."""

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
    """What names an account is no call."""
    return replace(rank, service_call=rank.service_call and not rank.account)


def list_ranks(priorities, accounts):
    """Return lists of ranks."""
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
parts = st.dictionaries(
    st.sampled_from(('', *ACCOUNTS)),
    st.floats(0, 20),
    max_size=4,
)


def find_order(ranks, had):
    turns = compute_order(ranks, had)
    return sorted(range(len(ranks)), key=turns.__getitem__)


@EXAMPLES
@given(ranks=plain, had=parts)
def test_without_ranks_and_accounts_short_goes_first_then_expiry(ranks, had):
    """Services that have neither are served in the order of before."""
    old = [
        (rank.late, rank.long, rank.priority, rank.expires, number)
        for number, rank in enumerate(ranks)
    ]
    before = sorted(range(len(ranks)), key=old.__getitem__)
    assert find_order(ranks, had) == before


@EXAMPLES
@given(ranks=plain, had=parts)
def test_without_ranks_and_accounts_nobody_makes_way(ranks, had):
    turns = compute_order(ranks, had)
    assert not list_outranked(ranks, turns)
    assert select_displaced(ranks, turns) is None


@EXAMPLES
@given(ranks=ranked, had=parts)
def test_each_has_one_turn(ranks, had):
    turns = compute_order(ranks, had)
    assert [turn.number for turn in turns] == list(range(len(ranks)))
    assert len(set(turns)) == len(ranks)


@EXAMPLES
@given(ranks=ranked, had=parts)
def test_of_what_comes_in_time_the_more_urgent_goes_first(ranks, had):
    shared = any(rank.account for rank in ranks)
    order = [ranks[at] for at in find_order(ranks, had)]
    new = [rank for rank in order if not is_call(rank, shared)]
    told = [(rank.late, rank.priority) for rank in new]
    assert told == sorted(told)


@EXAMPLES
@given(ranks=ranked, had=parts, chosen=st.integers(0, 7))
def test_the_more_urgent_a_request_the_earlier_its_turn(ranks, had, chosen):
    """Whoever gains a rank loses no place to what waits beside it."""
    at = chosen % len(ranks)
    raised = list(ranks)
    more_urgent = ranks[at].priority - 1
    raised[at] = replace(ranks[at], priority=more_urgent)
    before = find_order(ranks, had).index(at)
    after = find_order(raised, had).index(at)
    assert after <= before


@EXAMPLES
@given(ranks=ranked, had=parts)
def test_a_call_goes_before_all_new_work_of_accounts(ranks, had):
    shared = any(rank.account for rank in ranks)
    turns = compute_order(ranks, had)
    for call, rank in zip(turns, ranks, strict=True):
        if not shared or not is_call(rank, shared):
            continue
        assert not any(
            other < call
            for other, new in zip(turns, ranks, strict=True)
            if new.late == rank.late and not is_call(new, shared)
        )


@EXAMPLES
@given(ranks=unnamed, had=parts)
def test_no_less_urgent_new_work_goes_before_a_call(ranks, had):
    turns = compute_order(ranks, had)
    least = min(rank.priority for rank in ranks)
    for call, rank in zip(turns, ranks, strict=True):
        if not is_call(rank, by_account=False):
            continue
        assert not any(
            other < call
            for other, new in zip(turns, ranks, strict=True)
            if new.late == rank.late
            and new.priority > least
            and not is_call(new, by_account=False)
        )


@EXAMPLES
@given(ranks=ranked, had=parts)
def test_nobody_makes_way_for_what_is_less_urgent_nor_a_call(ranks, had):
    shared = any(rank.account for rank in ranks)
    last = select_displaced(ranks, compute_order(ranks, had))
    if last is None:
        return
    newcomer = ranks[-1]
    assert not is_call(ranks[last], shared)
    assert (
        is_call(newcomer, shared) or ranks[last].priority >= newcomer.priority
    )


@EXAMPLES
@given(ranks=ranked, had=parts)
def test_of_equal_rank_the_account_that_had_more_makes_way(ranks, had):
    """No account below its part is declined for one above it."""
    shared = any(rank.account for rank in ranks)
    turns = compute_order(ranks, had)
    last = select_displaced(ranks, turns)
    if last is None or is_call(ranks[-1], shared):
        return
    if (turns[last].late, turns[last].level) == (
        turns[-1].late,
        turns[-1].level,
    ):
        assert turns[last].usage > turns[-1].usage
        assert ranks[last].account != ranks[-1].account


def test_accounts_alike_take_turns():
    ranks = [Rank(account=name, cost=1) for name in 'aaabb']
    assert find_order(ranks, {}) == [0, 3, 1, 4, 2]


def test_an_account_that_had_much_waits_for_the_others():
    ranks = [Rank(account=name, cost=1) for name in 'abb']
    assert find_order(ranks, {'a': 1.5}) == [1, 2, 0]
