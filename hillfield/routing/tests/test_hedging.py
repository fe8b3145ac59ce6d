"""Hedges of requests whose targets hang."""

from random import Random

from pytest import mark

from hillfield.detection.pathdetector import PathDetector
from hillfield.hostroutes.node_policy import make_policy
from hillfield.model import (
    Address,
    Locality,
    RepeatKind,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing import Dispatcher
from hillfield.routing.declining import Declined
from hillfield.routing.hedging import EARLIEST_AIM_SHARE, LATEST_AIM_SHARE
from hillfield.routing.requests import (
    Answered,
    Arrival,
    CallerGone,
    Refuse,
    Send,
    Wait,
)
from hillfield.routing.retries import GATES_ASKED

HERE = Locality('r', 'a', 'h')
CALL = RequestPlan('s', 'call', '', True, 1.5, maximum_attempts=2, aim=0.4)
NON_IDEMPOTENT = RequestPlan(
    's', 'post', '', False, 5, maximum_attempts=2, aim=1.5
)
# Retries that the fleet may send in 10 s beyond a fifth of its requests.
SLACK = 60
RATIO = 0.2
NODES = 30


def make_dispatcher(targets=6, seed=1):
    policy = make_policy(RATIO, 0.7)
    plain = ServicePolicy('s')
    detector = PathDetector(plain, HERE)
    dispatcher = Dispatcher(plain, HERE, detector, Random(seed))
    # As at a node, the service is created before its policy is known.
    dispatcher.adopt_policy(0, policy)
    dispatcher.adopt_targets(
        0,
        tuple(
            Target(
                TargetId('s', Address(f'10.0.0.{number}', 80), 1),
                HERE,
                5,
                360,
            )
            for number in range(targets)
        ),
    )
    return dispatcher


def send(dispatcher, name, now=0, plan=CALL):
    arrival = Arrival(name, plan, now + plan.deadline, True)
    sent = dispatcher.admit(now, arrival)
    assert isinstance(sent, Send)
    dispatcher.record_written(now, sent.attempt)
    return sent


def answer(dispatcher, name, now, seconds):
    sent = send(dispatcher, name, now)
    dispatcher.finish(now + seconds, sent.attempt, Answered(200))


def test_the_delay_follows_the_duration_of_the_route():
    dispatcher = make_dispatcher()
    for number in range(60):
        answer(dispatcher, f'r{number}', number, 0.1)
    assert round(dispatcher.compute_hedge_delay(CALL), 1) in {0.1, 0.2}


def test_the_delay_leaves_time_for_a_second_attempt():
    for seconds in (0.001, 1.4):
        dispatcher = make_dispatcher()
        for number in range(60):
            answer(dispatcher, f'r{number}', 2 * number, seconds)
        delay = dispatcher.compute_hedge_delay(CALL)
        assert (
            EARLIEST_AIM_SHARE * CALL.aim
            <= delay
            <= LATEST_AIM_SHARE * CALL.aim
        )


def test_non_idempotent_requests_and_those_without_aim_have_no_delay():
    dispatcher = make_dispatcher()
    assert dispatcher.compute_hedge_delay(NON_IDEMPOTENT) is None
    plain = RequestPlan('s', 'r', '', True, 1.5)
    assert dispatcher.compute_hedge_delay(plain) is None


def test_cancelled_attempts_keep_the_delay_from_falling():
    """Cancelled attempts were not counted, so hedges were sent ever earlier."""
    dispatcher = make_dispatcher()
    for number in range(40):
        answer(dispatcher, f'r{number}', number, 0.1)
    before = dispatcher.compute_hedge_delay(CALL)
    for number in range(40, 60):
        sent = send(dispatcher, f'r{number}', number)
        dispatcher.finish(number + 0.3, sent.attempt, CallerGone())
    assert dispatcher.compute_hedge_delay(CALL) > before


def decline(dispatcher, sent, now):
    return dispatcher.finish(now, sent.attempt, Declined('full'))


def test_a_declined_hedge_is_sent_to_another_target():
    """A declined hedge was dropped; the caller waited for the hung target."""
    dispatcher = make_dispatcher()
    first = send(dispatcher, 'r')
    second = dispatcher.hedge(0.3, 'r')
    third = decline(dispatcher, second, 0.31)
    assert isinstance(third, Send)
    targets = {first.target, second.target, third.target}
    assert len(targets) == 3
    dispatcher.record_written(0.32, third.attempt)
    done = dispatcher.finish(0.4, third.attempt, Answered(200))
    assert done.request == 'r'


def test_a_declined_hedge_without_another_target_leaves_the_first_attempt():
    dispatcher = make_dispatcher(2)
    first = send(dispatcher, 'r')
    second = dispatcher.hedge(0.3, 'r')
    assert isinstance(decline(dispatcher, second, 0.31), Wait)
    assert dispatcher.finish(0.5, first.attempt, Answered(200)).request == 'r'


def hang_all(dispatcher, requests):
    """Send requests that all hang, over 10 s; return the number of hedges."""
    hedged = 0
    for number in range(requests):
        now = 10 * number / requests
        dispatcher.tick(now)
        name = f'r{number}'
        send(dispatcher, name, now)
        hedged += dispatcher.hedge(now + 0.05, name) is not None
        for attempt in tuple(dispatcher._service.table.attempts):
            dispatcher.finish(now + 0.06, attempt, CallerGone())
    return hedged


@mark.parametrize('requests', (2, 5, 20))
def test_a_service_that_hangs_gets_no_more_hedges_than_allowed(requests):
    """With a burst for each node, up to 135 would be sent in 10 s."""
    hedged = sum(
        hang_all(make_dispatcher(seed=seed), requests) for seed in range(NODES)
    )
    assert hedged <= SLACK + RATIO * requests * NODES


def test_a_node_with_few_requests_still_hedges():
    """A budget earned by answers alone allowed one hedge in 12 requests."""
    dispatcher = make_dispatcher()
    hedged = 0
    for number in range(30):
        now = 2.0 * number
        dispatcher.tick(now)
        send(dispatcher, f'r{number}', now)
        if number % 4 == 0:
            hedged += dispatcher.hedge(now + 0.2, f'r{number}') is not None
        attempt = next(iter(dispatcher._service.table.attempts))
        dispatcher.finish(now + 0.3, attempt, Answered(200))
        for late in tuple(dispatcher._service.table.attempts):
            dispatcher.finish(now + 0.3, late, CallerGone())
    assert hedged == 8


def test_each_further_arrival_is_told_from_the_first():
    dispatcher = make_dispatcher()
    first = send(dispatcher, 'r')
    hedge = dispatcher.hedge(0.3, 'r')
    dispatcher.record_written(0.3, hedge.attempt)
    dispatcher.finish(0.4, first.attempt, Answered(500, wrong='status'))
    failed = send(dispatcher, 's', 1)
    again = dispatcher.finish(
        1.1, failed.attempt, Answered(500, wrong='status')
    )
    kinds = [sent.repeat for sent in (first, hedge, failed, again)]
    assert kinds == [None, RepeatKind.HEDGE, None, RepeatKind.RETRY]


def test_a_declined_first_attempt_makes_no_repeat():
    dispatcher = make_dispatcher()
    first = send(dispatcher, 'r')
    again = dispatcher.finish(0.1, first.attempt, Declined('full'))
    assert again.repeat is None


def test_a_repeat_that_gates_decline_is_given_up_after_a_few():
    dispatcher = make_dispatcher(targets=12)
    sent = send(dispatcher, 'r')
    again = dispatcher.finish(1, sent.attempt, Answered(500, wrong='status'))
    asked = 0
    while isinstance(again, Send):
        asked += 1
        used = Declined('used up', only_repeats=True)
        again = dispatcher.finish(1, again.attempt, used)
    assert isinstance(again, Refuse)
    assert asked == GATES_ASKED


def test_a_gate_that_declines_only_repeats_keeps_its_first_arrivals():
    dispatcher = make_dispatcher(targets=1)
    sent = send(dispatcher, 'r')
    dispatcher.finish(1, sent.attempt, Declined('used up', only_repeats=True))
    assert isinstance(send(dispatcher, 's', 1), Send)
