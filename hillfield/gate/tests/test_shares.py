"""What accounts have had of a target lately."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.gate.shares import LEAST_PART, MOST_ACCOUNTS, AccountShares

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
    shares = AccountShares()
    given_out: dict[str, float] = {}
    now: float = 0
    for pause, account, seconds in charges:
        now += pause
        shares.charge(now, account, seconds)
        given_out[account] = given_out.get(account, 0) + seconds
    for account, part in shares.read(now).items():
        assert LEAST_PART <= part <= given_out[account] + 1e-9


def test_accounts_are_bounded_and_the_one_that_had_least_is_forgotten():
    shares = AccountShares()
    for number in range(MOST_ACCOUNTS):
        shares.charge(0, f'a{number}', 1 + number)
    shares.charge(0, 'one more', 5)
    parts = shares.read(0)
    assert len(parts) == MOST_ACCOUNTS
    assert 'a0' not in parts
    assert parts['one more'] == 5


def test_what_is_idle_is_forgotten():
    shares = AccountShares()
    shares.charge(0, 'till', 1)
    assert shares.read(10)
    assert not shares.read(60)
