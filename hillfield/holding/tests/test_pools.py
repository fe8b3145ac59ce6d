"""Shares of a byte pool."""

# Tests are untyped.
# mypy: disable-error-code="no-untyped-call"

from hypothesis import given
from hypothesis import strategies as st

from hillfield.holding import BytePool

LIMIT = 1000
ACCOUNTS = st.sampled_from(('a', 'b', 'c', 'd'))
STEP = st.tuples(ACCOUNTS, st.integers(0, LIMIT), st.booleans())
STEPS = st.lists(STEP)


class PoolUsers:
    """Let accounts reserve and release bytes."""

    def __init__(self):
        self.pool = BytePool(LIMIT)
        self.held = []

    def step(self, account, size, releases):
        if releases and self.held:
            owner, amount = self.held.pop(0)
            self.pool.change(owner, -amount)
        elif self.pool.admits(account, size):
            self.pool.change(account, size)
            self.held.append((account, size))


@given(STEPS)
def test_admitted_bytes_stay_below_the_limit(steps):
    users = PoolUsers()
    for account, size, releases in steps:
        users.step(account, size, releases)
        assert users.pool.total <= LIMIT
        assert users.pool.total == sum(size for _, size in users.held)


@given(STEPS)
def test_no_account_is_left_when_all_is_released(steps):
    users = PoolUsers()
    for account, size, releases in steps:
        users.step(account, size, releases)
    while users.held:
        users.step('a', 0, releases=True)
    assert not users.pool.total
    assert not users.pool._held


@given(st.integers(1, LIMIT // 8))
def test_a_greedy_account_leaves_half_to_others(size):
    pool = BytePool(LIMIT)
    while pool.admits('greedy', size):
        pool.change('greedy', size)
    assert pool.held_by('greedy') <= LIMIT / 2
    assert pool.held_by('greedy') > LIMIT / 2 - size
    assert pool.admits('other', LIMIT // 4)


def test_two_greedy_accounts_leave_a_third():
    pool = BytePool(LIMIT)
    while pool.admits('a', 1) or pool.admits('b', 1):
        poorer = min('ab', key=pool.held_by)
        pool.change(poorer, 1)
    assert LIMIT - pool.total >= LIMIT // 3


def test_an_empty_pool_admits_any_size():
    pool = BytePool(LIMIT)
    assert pool.admits('a', 2 * LIMIT)
    pool.change('a', 2 * LIMIT)
    assert not pool.admits('a', 1)
    assert not pool.admits('b', 1)
    assert pool.admits('b', 0)
