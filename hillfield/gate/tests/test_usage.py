"""What accounts have had of a target lately."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.gate.usage import MAXIMUM_ACCOUNTS, MINIMUM_USAGE, AccountUsage

charges = st.lists(
    st.tuples(
        st.floats(0, 2),
        st.sampled_from('abc'),
        st.floats(0.01, 2),
    ),
    max_size=20,
)


@settings(derandomize=True, database=None, deadline=None)
@given(charges=charges)
def test_no_account_counts_for_more_than_it_was_given(charges):
    shares = AccountUsage()
    given_out: dict[str, float] = {}
    now: float = 0
    for pause, account, seconds in charges:
        now += pause
        shares.charge(now, account, seconds)
        given_out[account] = given_out.get(account, 0) + seconds
    for account, part in shares.list_usage(now).items():
        assert MINIMUM_USAGE <= part <= given_out[account] + 1e-9


def test_accounts_are_bounded_and_the_one_that_had_least_is_forgotten():
    shares = AccountUsage()
    for number in range(MAXIMUM_ACCOUNTS):
        shares.charge(0, f'a{number}', 1 + number)
    shares.charge(0, 'one more', 5)
    parts = shares.list_usage(0)
    assert len(parts) == MAXIMUM_ACCOUNTS
    assert 'a0' not in parts
    assert parts['one more'] == 5


def test_what_is_idle_is_forgotten():
    shares = AccountUsage()
    shares.charge(0, 'till', 1)
    assert shares.list_usage(10)
    assert not shares.list_usage(60)
