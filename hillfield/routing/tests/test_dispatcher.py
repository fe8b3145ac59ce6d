"""Decisions of the dispatcher, case by case."""

from random import Random
from typing import Any

from msgspec.structs import replace
from pytest import fixture, mark

from hillfield.detection.healthdetector import HealthDetector
from hillfield.model import (
    Address,
    Locality,
    Outcome,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
    TargetState,
)
from hillfield.routing import Dispatcher
from hillfield.routing.requests import (
    Answered,
    Arrival,
    Broken,
    CallerGone,
    ConnectFailed,
    Done,
    NothingWritten,
    Refuse,
    Send,
    Shed,
    TimedOut,
    Wait,
)

HERE = Locality('north', 'a', 'h1')
POLICY = ServicePolicy('settlement', hedge_budget=1)


def make_target(
    number: int,
    slots: int = 4,
    state: TargetState = TargetState.READY,
    incarnation: int = 1,
) -> Target:
    address = Address('127.0.0.1', 8000 + number)
    identity = TargetId('settlement', address, incarnation)
    locality = Locality('north', 'abc'[number % 3], f'h{number}')
    return Target(identity, locality, slots, 300, state=state)


def make_arrival(
    name: str,
    idempotent: bool = True,
    now: float = 0,
    account: str = 'shop',
    **more: Any,
) -> Arrival:
    plan = RequestPlan('settlement', 'r', account, idempotent, 2, **more)
    return Arrival(name, plan, now + 2, True)


def make_dispatcher(count: int, slots: int = 4, **more: Any) -> Any:
    policy = replace(POLICY, **more)
    detector = HealthDetector(policy, HERE)
    dispatcher = Dispatcher(policy, HERE, detector, Random(1))
    targets = tuple(make_target(place, slots) for place in range(count))
    dispatcher.adopt_targets(0, targets)
    return dispatcher


def answer(dispatcher: Any, send: Any, now: float) -> None:
    dispatcher.record_written(now, send.attempt)
    dispatcher.finish(now, send.attempt, Answered(200))


@fixture
def pair():
    return make_dispatcher(2)


def test_service_without_target_is_refused_as_not_run():
    decision = make_dispatcher(0).admit(0, make_arrival('a'))
    assert decision.failure.status == 503
    assert decision.failure.outcome is Outcome.NOT_RUN
    assert decision.failure.retry_after


def test_answer_ends_the_request(pair):
    send = pair.admit(0, make_arrival('a'))
    pair.record_written(0, send.attempt)
    pair.record_head(0.01, send.attempt)
    assert pair.finish(0.02, send.attempt, Answered(200)) == Done('a')


@mark.parametrize('observation', [ConnectFailed(''), NothingWritten('')])
@mark.parametrize('idempotent', [True, False])
def test_nothing_written_is_retried_elsewhere(pair, observation, idempotent):
    send = pair.admit(0, make_arrival('a', idempotent))
    again = pair.finish(0.1, send.attempt, observation)
    assert isinstance(again, Send)
    assert again.target != send.target


@mark.parametrize(
    ('observation', 'status'),
    [
        (Broken('reset'), 502),
        (TimedOut(), 504),
        (ConnectFailed('late'), 502),
        (NothingWritten('late'), 502),
        (Answered(500, 'status'), 502),
    ],
)
def test_written_non_idempotent_is_unknown(pair, observation, status):
    send = pair.admit(0, make_arrival('a', idempotent=False))
    pair.record_written(0, send.attempt)
    failure = pair.finish(0.1, send.attempt, observation).failure
    assert failure.outcome is Outcome.UNKNOWN
    assert failure.status == status
    assert failure.retry_after is None
    assert failure.peer == str(send.address)


def test_shed_non_idempotent_is_retried_then_not_run(pair):
    send = pair.admit(0, make_arrival('a', idempotent=False))
    pair.record_written(0, send.attempt)
    again = pair.finish(0.1, send.attempt, Shed(3))
    pair.record_written(0.1, again.attempt)
    # Both targets pause, so that the third attempt waits for a slot.
    assert again.target != send.target
    assert pair.finish(0.2, again.attempt, Shed(3)) == Wait('a')
    failure = pair.poll(2.5)[0].failure
    assert failure.outcome is Outcome.NOT_RUN


def test_last_attempt_after_sheds_gets_the_released_slot():
    dispatcher = make_dispatcher(3, slots=1)
    other = dispatcher.admit(0, make_arrival('other'))
    send = dispatcher.admit(0, make_arrival('a'))
    again = dispatcher.finish(0.1, send.attempt, Shed())
    assert dispatcher.finish(0.11, again.attempt, Shed()) == Wait('a')
    dispatcher.finish(0.12, other.attempt, Answered(200))
    assert dispatcher.poll(0.12)[0].target == other.target


def test_hedges_stay_within_their_budget():
    dispatcher = make_dispatcher(8, hedge_budget=0.1)
    hedged = 0
    for number in range(200):
        send = dispatcher.admit(number, make_arrival(f'{number}', now=number))
        hedge = dispatcher.hedge(number + 0.1, f'{number}')
        hedged += hedge is not None
        dispatcher.finish(number + 0.2, send.attempt, Answered(200))
        if hedge is not None:
            dispatcher.finish(number + 0.2, hedge.attempt, CallerGone())
    assert 15 <= hedged <= 20


def test_shed_by_the_only_target_is_not_run():
    dispatcher = make_dispatcher(1)
    send = dispatcher.admit(0, make_arrival('a', idempotent=False))
    dispatcher.record_written(0, send.attempt)
    failure = dispatcher.finish(0.1, send.attempt, Shed(3)).failure
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.retry_after == 3


@mark.parametrize(
    'observation',
    [Broken(''), TimedOut(), Answered(500, 'status')],
)
def test_idempotent_is_retried_elsewhere(pair, observation):
    send = pair.admit(0, make_arrival('a'))
    pair.record_written(0, send.attempt)
    again = pair.finish(0.1, send.attempt, observation)
    assert again.target != send.target


def test_shed_after_an_uncertain_attempt_stays_unknown(pair):
    send = pair.admit(0, make_arrival('a', maximum_attempts=2))
    pair.record_written(0, send.attempt)
    again = pair.finish(0.1, send.attempt, Broken(''))
    pair.record_written(0.1, again.attempt)
    failure = pair.finish(0.2, again.attempt, Shed()).failure
    assert failure.outcome is Outcome.UNKNOWN
    assert failure.retry_after


def test_no_retry_past_the_deadline(pair):
    send = pair.admit(0, make_arrival('a'))
    pair.record_written(0, send.attempt)
    failure = pair.finish(2, send.attempt, TimedOut()).failure
    assert (failure.status, failure.outcome) == (504, Outcome.UNKNOWN)


@mark.parametrize(
    'observation',
    [Broken('', True), TimedOut(True), Answered(500, 'x', True)],
)
def test_forwarded_answer_is_never_retried(pair, observation):
    send = pair.admit(0, make_arrival('a'))
    pair.record_written(0, send.attempt)
    assert pair.finish(0.1, send.attempt, observation) == Done('a')


def test_late_and_duplicate_observations_change_nothing(pair):
    send = pair.admit(0, make_arrival('a', idempotent=False))
    pair.record_written(0, send.attempt)
    pair.finish(0.1, send.attempt, Answered(200))
    assert pair.finish(0.2, send.attempt, ConnectFailed('')) == Done('')
    pair.record_written(0.2, send.attempt)
    assert pair.explain(0.2).strays == 2


def hedge_one(pair: Any) -> tuple[Any, Any]:
    """Return both attempts of a hedged request."""
    earlier = pair.admit(0, make_arrival('w'))
    pair.finish(0.1, earlier.attempt, Answered(200))
    first = pair.admit(0.1, make_arrival('a'))
    pair.record_written(0.1, first.attempt)
    second = pair.hedge(0.2, 'a')
    pair.record_written(0.2, second.attempt)
    return first, second


def test_hedge_goes_to_another_target_and_the_first_answer_counts(pair):
    first, second = hedge_one(pair)
    assert second.target != first.target
    assert pair.finish(0.3, second.attempt, Answered(200)) == Done('a')
    assert pair.finish(0.3, first.attempt, CallerGone()) == Done('a')
    assert pair.explain(0.3).loads[0].in_flight == 0


def test_failed_attempt_waits_for_its_hedge(pair):
    first, second = hedge_one(pair)
    assert pair.finish(0.3, first.attempt, Broken('')) == Wait('a')
    assert pair.finish(0.4, second.attempt, Answered(200)) == Done('a')


def test_cancelled_attempt_leaves_the_outcome_unknown(pair):
    first, second = hedge_one(pair)
    pair.finish(0.3, first.attempt, CallerGone())
    failure = pair.finish(1.99, second.attempt, Shed()).failure
    assert failure.outcome is Outcome.UNKNOWN


def test_no_hedge_of_non_idempotent(pair):
    pair.admit(0, make_arrival('a', idempotent=False))
    assert pair.hedge(0.1, 'a') is None


def test_slots_bound_the_requests_in_flight():
    dispatcher = make_dispatcher(2, slots=3)
    arrivals = [make_arrival(f'r{place}') for place in range(7)]
    decisions = [dispatcher.admit(0, arrival) for arrival in arrivals]
    kinds = [type(decision) for decision in decisions]
    assert kinds[:6] == [Send for _ in range(6)]
    assert decisions[-1] == Wait('r6')
    dispatcher.finish(0.1, decisions[0].attempt, Answered(200))
    assert dispatcher.poll(0.1)[0].request == 'r6'


def test_cancelled_request_leaves_the_queue():
    dispatcher = make_dispatcher(1, slots=1)
    send = dispatcher.admit(0, make_arrival('a'))
    dispatcher.admit(0, make_arrival('b'))
    dispatcher.cancel(0, 'b')
    dispatcher.finish(0.1, send.attempt, Answered(200))
    assert dispatcher.poll(0.1) == ()


def test_cancel_drops_a_refusal_that_no_poll_has_returned():
    # The request is evicted for another account and then cancelled.
    dispatcher = make_dispatcher(1, slots=1, queue_limit=2, account_share=1)
    dispatcher.admit(0, make_arrival('a'))
    for name in 'bc':
        dispatcher.admit(0, make_arrival(name))
    assert dispatcher.admit(0, make_arrival('d', account='other')) == Wait('d')
    dispatcher.cancel(0, 'c')
    assert dispatcher.poll(0) == ()


def test_newest_of_the_longest_queue_is_evicted():
    dispatcher = make_dispatcher(1, slots=1, queue_limit=2, account_share=1)
    dispatcher.admit(0, make_arrival('a'))
    for name in 'bc':
        dispatcher.admit(0, make_arrival(name))
    dispatcher.admit(0, make_arrival('d', account='other'))
    refuse = dispatcher.poll(0)[0]
    assert refuse.request == 'c'
    assert refuse.failure.outcome is Outcome.NOT_RUN


def test_account_may_not_fill_the_queue_while_others_wait():
    dispatcher = make_dispatcher(1, slots=1, queue_limit=4)
    dispatcher.admit(0, make_arrival('a'))
    dispatcher.admit(0, make_arrival('b', account='other'))
    waits = [dispatcher.admit(0, make_arrival(name)) for name in 'cde']
    assert [type(decision) for decision in waits] == [Wait, Wait, Refuse]
    assert waits[-1].failure.status == 429


def test_wait_past_the_deadline_is_refused_at_once():
    dispatcher = make_dispatcher(1, slots=1)
    first = dispatcher.admit(0, make_arrival('a'))
    dispatcher.finish(0.6, first.attempt, Answered(200))
    dispatcher.admit(0.6, make_arrival('b', now=0.6))
    dispatcher.admit(0.6, make_arrival('c', now=0.6))
    dispatcher.admit(0.6, make_arrival('d', now=0.6))
    refuse = dispatcher.admit(0.6, make_arrival('e', now=0.6))
    assert refuse.failure.outcome is Outcome.NOT_RUN
    assert refuse.failure.retry_after > 1


def test_account_rate_is_refused_with_the_time_to_retry():
    dispatcher = make_dispatcher(2, account_rate=2)
    arrivals = [make_arrival(name) for name in 'abc']
    decisions = [dispatcher.admit(0, arrival) for arrival in arrivals]
    assert decisions[-1].failure.status == 429
    assert decisions[-1].failure.retry_after * 2 == 1
    assert isinstance(dispatcher.admit(0.5, make_arrival('d')), Send)


def test_shed_target_pauses_and_is_used_again():
    dispatcher = make_dispatcher(1)
    send = dispatcher.admit(0, make_arrival('a'))
    dispatcher.finish(0.1, send.attempt, Shed())
    assert dispatcher.admit(0.1, make_arrival('b')) == Wait('b')
    assert isinstance(dispatcher.poll(0.2)[0], Send)


def test_requests_stay_in_the_failure_domain_until_it_is_full():
    dispatcher = make_dispatcher(9)
    arrivals = [make_arrival(f'{place}') for place in range(20)]
    sends = [dispatcher.admit(0, arrival) for arrival in arrivals]
    domains = [(send.address.port - 8000) % 3 for send in sends]
    assert domains[:9] == [0 for _ in range(9)]
    assert set(domains[9:]) == {1, 2}


def test_expired_in_queue_is_not_run():
    dispatcher = make_dispatcher(1, slots=1)
    dispatcher.admit(0, make_arrival('a'))
    dispatcher.admit(0, make_arrival('b'))
    refused = dispatcher.poll(2.1)
    assert refused[0].failure.outcome is Outcome.NOT_RUN


def test_draining_target_gets_nothing_and_incarnations_are_distinct():
    dispatcher = make_dispatcher(2)
    leaving = make_target(0, state=TargetState.DRAINING)
    dispatcher.adopt_targets(1, (leaving, make_target(1)))
    arrivals = [make_arrival(f'{place}') for place in range(4)]
    sends = [dispatcher.admit(1, arrival) for arrival in arrivals]
    assert {send.target for send in sends} == {make_target(1).id}
    newer = make_target(1, incarnation=2)
    dispatcher.adopt_targets(1, (leaving, newer))
    assert dispatcher.admit(1, make_arrival('n')).target == newer.id
    for send in sends:
        dispatcher.finish(1.1, send.attempt, Answered(200))


def test_total_failure_is_not_amplified():
    dispatcher = make_dispatcher(8)
    sends = 0
    for number in range(1000):
        now = number / 100
        decision = dispatcher.admit(now, make_arrival(f'{number}', now=now))
        while isinstance(decision, Send):
            sends += 1
            dispatcher.record_written(now, decision.attempt)
            decision = dispatcher.finish(now, decision.attempt, Broken(''))
        assert isinstance(decision, Refuse)
    assert sends <= 1010


def test_target_that_shed_gets_requests_again_after_a_latency():
    pair = make_dispatcher(2, slots=1)
    answer(pair, pair.admit(0, make_arrival('a')), 0.02)
    shed = pair.admit(0.03, make_arrival('b'))
    again = pair.finish(0.03, shed.attempt, Shed(retry_after=1))
    answer(pair, again, 0.05)
    sent = [pair.admit(0.06, make_arrival(name)) for name in ('c', 'd')]
    assert {send.target for send in sent} == {shed.target, again.target}


def test_requests_that_wait_for_a_pause_are_due_at_its_end():
    alone = make_dispatcher(2, slots=1)
    answer(alone, alone.admit(0, make_arrival('a')), 0.02)
    assert alone.next_due() is None
    shed = alone.admit(0.03, make_arrival('b'))
    again = alone.finish(0.03, shed.attempt, Shed())
    assert alone.admit(0.04, make_arrival('c')) == Wait('c')
    due = alone.next_due()
    assert int(1000 * due) in range(30, 51)
    assert alone.poll(due - 0.001) == ()
    sent = alone.poll(due)
    assert sent[0].target == shed.target
    assert sent[0].target != again.target
