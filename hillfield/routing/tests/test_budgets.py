"""Retry budgets."""

from hillfield.model import Address, RequestPlan, ServicePolicy, TargetId
from hillfield.routing.budgets import UNSENT_BURST, RetryBudget
from hillfield.routing.records import RequestRecord
from hillfield.routing.requests import Arrival

POLICY = ServicePolicy('settlement')


def test_refused_connections_do_not_use_up_the_retries():
    """Retries after refused connections have a bucket of their own.

    With half of all targets killed, closed ports emptied the retry budget of 5,
    and 94 of 2,750 requests ended as `not-run` although half the targets lived.
    """
    budget = RetryBudget(POLICY)
    assert all(budget.consume_unsent() for _ in range(int(UNSENT_BURST)))
    assert budget.consume_retry('shop', shed=False)


def test_unsent_retries_end_while_nothing_is_answered():
    """If all targets refuse connections, the number of attempts is bounded."""
    budget = RetryBudget(POLICY)
    taken = sum(budget.consume_unsent() for _ in range(1000))
    assert taken == UNSENT_BURST


def test_each_answer_allows_one_more_unsent_retry():
    """While some targets answer, each answer adds one retry."""
    budget = RetryBudget(POLICY)
    assert sum(budget.consume_unsent() for _ in range(1000)) == UNSENT_BURST
    budget.record_answered(POLICY, 'shop')
    assert budget.consume_unsent()
    assert not budget.consume_unsent()


def test_a_failed_service_stops_retries():
    """Without answers, only the burst of retries is available."""
    budget = RetryBudget(POLICY)
    accounts = [f'shop-{number}' for number in range(100)]
    taken = sum(budget.consume_retry(name, shed=False) for name in accounts)
    assert taken == POLICY.retry_burst


def test_unsent_attempts_do_not_count_as_attempts_of_the_plan():
    """With 4 of 8 targets refusing, 7 requests failed after 3 closed ports."""
    plan = RequestPlan('settlement', 'capture', 'shop', False, 2)
    record = RequestRecord(Arrival('one', plan, 2, replayable=True))
    record.tried = tuple(
        TargetId('settlement', Address('127.0.0.1', port), 1)
        for port in range(3)
    )
    assert not record.has_attempts_left()
    record.unsent_attempts = 3
    assert record.has_attempts_left()


def test_sheds_that_cost_a_full_retry_share_the_retry_budget():
    """With `shed_cost` 1, a retry after a shed counts as any other retry."""
    policy = ServicePolicy('s', retry_burst=2, shed_burst=2, shed_cost=1)
    budget = RetryBudget(policy)
    assert budget.consume_retry('a', shed=True)
    assert budget.consume_retry('a', shed=False)
    assert not budget.consume_retry('a', shed=True)
    assert not budget.consume_retry('a', shed=False)
