"""Bytes that requests reserve and release."""

# Tests are untyped.
# mypy: disable-error-code="no-untyped-call"

from hypothesis import given
from hypothesis import strategies as st

from hillfield.holding import (
    ByteLimits,
    ByteReservation,
    build_budget,
    compute_limits,
)

LIMITS = ByteLimits(1000, 1000, 4000)


def read_totals(budget):
    return (budget.requests.total, budget.answers.total, budget.target.total)


def test_a_request_reserves_bytes_here_and_at_the_target():
    budget = build_budget(LIMITS)
    holder = ByteReservation(budget, 'baker')
    assert not holder.reserve(100, 400)
    assert read_totals(budget) == (100, 0, 400)
    holder.record_body_sent()
    assert read_totals(budget) == (0, 0, 400)
    holder.add_answer(70)
    holder.release_request()
    assert read_totals(budget) == (0, 70, 0)
    holder.release()
    assert read_totals(budget) == (0, 0, 0)


def test_each_pool_refuses_separately():
    budget = build_budget(LIMITS)
    assert not ByteReservation(budget, 'baker').reserve(500, 500)
    assert 'body' in ByteReservation(budget, 'baker').reserve(1, 1)
    assert not ByteReservation(budget, 'till').reserve(1, 1)
    assert 'target' in ByteReservation(budget, 'till').reserve(1, 3500)


def test_a_slow_reader_is_refused_and_others_are_not():
    budget = build_budget(LIMITS)
    ByteReservation(budget, 'slow').add_answer(600)
    assert 'answers' in ByteReservation(budget, 'slow').reserve(0, 0)
    assert not ByteReservation(budget, 'other').reserve(0, 0)


def test_an_unknown_length_counts_as_it_is_received():
    budget = build_budget(LIMITS)
    holder = ByteReservation(budget, 'baker')
    holder.reserve(10, 0)
    holder.record_body(300)
    holder.record_body(900)
    assert budget.target.total == 900
    holder.release()
    holder.record_body(1000)
    assert read_totals(budget) == (0, 0, 0)


def test_without_limits_everything_is_admitted():
    budget = build_budget(compute_limits(None))
    assert not ByteReservation(budget, 'baker').reserve(10**12, 10**12)
    assert not ByteReservation(budget, 'baker').reserve(10**12, 10**12)


CALLS = st.sampled_from(
    (
        ('record_body_sent', ()),
        ('add_answer', (50,)),
        ('release_answer', (30,)),
        ('record_body', (700,)),
        ('release_request', ()),
        ('release', ()),
    ),
)


@given(st.lists(CALLS))
def test_in_any_order_all_bytes_are_released_once(calls):
    budget = build_budget(LIMITS)
    holder = ByteReservation(budget, 'baker')
    holder.reserve(100, 400)
    for name, arguments in calls:
        getattr(holder, name)(*arguments)
        assert min(read_totals(budget)) >= 0
    holder.release()
    assert read_totals(budget) == (0, 0, 0)
