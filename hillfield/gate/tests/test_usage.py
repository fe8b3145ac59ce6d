"""The recent usage of accounts."""

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
def test_no_account_has_more_usage_than_it_was_charged(charges):
    usage = AccountUsage()
    charged: dict[str, float] = {}
    now: float = 0
    for pause, account, seconds in charges:
        now += pause
        usage.charge(now, account, seconds)
        charged[account] = charged.get(account, 0) + seconds
    for account, used in usage.list_usage(now).items():
        assert MINIMUM_USAGE <= used <= charged[account] + 1e-9


def test_accounts_are_bounded_and_the_least_used_is_dropped():
    usage = AccountUsage()
    for number in range(MAXIMUM_ACCOUNTS):
        usage.charge(0, f'a{number}', 1 + number)
    usage.charge(0, 'one more', 5)
    usage_by_account = usage.list_usage(0)
    assert len(usage_by_account) == MAXIMUM_ACCOUNTS
    assert 'a0' not in usage_by_account
    assert usage_by_account['one more'] == 5


def test_idle_accounts_are_dropped():
    usage = AccountUsage()
    usage.charge(0, 'till', 1)
    assert usage.list_usage(10)
    assert not usage.list_usage(60)
