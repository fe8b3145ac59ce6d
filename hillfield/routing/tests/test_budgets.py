"""Budgets of retries."""

from hillfield.model import Address, RequestPlan, ServicePolicy, TargetId
from hillfield.routing.budgets import UNSENT_BURST, RetryBudget
from hillfield.routing.records import RequestRecord
from hillfield.routing.requests import Arrival

POLICY = ServicePolicy('settlement')


def test_refused_connections_do_not_use_up_the_retries():
    """Half of all targets killed left callers refused with the rest alive.

    Their first tries met closed ports, which emptied the retry budget of 5;
    94 of 2,750 callers were told `not-run` while half the targets lived.
    """
    budget = RetryBudget(POLICY)
    assert all(budget.consume_unsent() for _ in range(int(UNSENT_BURST)))
    assert budget.consume_retry('shop', shed=False)


def test_tries_end_when_nothing_is_answered():
    """A service whose targets all refuse gets no storm of connections."""
    budget = RetryBudget(POLICY)
    taken = sum(budget.consume_unsent() for _ in range(1000))
    assert taken == UNSENT_BURST


def test_each_answer_allows_one_more_try():
    """While some targets answer, one try is added for each answer."""
    budget = RetryBudget(POLICY)
    assert sum(budget.consume_unsent() for _ in range(1000)) == UNSENT_BURST
    budget.record_answered(POLICY, 'shop')
    assert budget.consume_unsent()
    assert not budget.consume_unsent()


def test_a_failed_service_stops_retries():
    """Without answers the burst of retries is all there is."""
    budget = RetryBudget(POLICY)
    accounts = [f'shop-{number}' for number in range(100)]
    taken = sum(budget.consume_retry(name, shed=False) for name in accounts)
    assert taken == POLICY.retry_burst


def test_unsent_attempts_do_not_count_as_the_plan_s_attempts():
    """Of 8 targets 4 refused; 7 callers were refused after 3 closed ports."""
    plan = RequestPlan('settlement', 'capture', 'shop', False, 2)
    record = RequestRecord(Arrival('one', plan, 2, replayable=True))
    record.tried = tuple(
        TargetId('settlement', Address('127.0.0.1', port), 1)
        for port in range(3)
    )
    assert not record.has_attempts_left()
    record.unsent_attempts = 3
    assert record.has_attempts_left()


def test_sheds_that_cost_a_whole_repeat_share_the_bound_of_repeats():
    """The users count each further arrival, also one that a target sheds."""
    policy = ServicePolicy('s', retry_burst=2, shed_burst=2, shed_cost=1)
    budget = RetryBudget(policy)
    assert budget.consume_retry('a', shed=True)
    assert budget.consume_retry('a', shed=False)
    assert not budget.consume_retry('a', shed=True)
    assert not budget.consume_retry('a', shed=False)
