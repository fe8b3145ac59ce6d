"""Order and length of waits while a service is overloaded."""

from random import Random
from typing import Any

from msgspec.structs import replace
from pytest import fixture

from hillfield.detection.pathdetector import PathDetector
from hillfield.hostroutes.node_policy import make_policy
from hillfield.model import (
    Address,
    Locality,
    Outcome,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing import Dispatcher
from hillfield.routing.requests import Answered, Arrival, Refuse, Send, Wait
from hillfield.routing.waiting import STALE_AIM_FACTOR

HERE = Locality('r', 'a', 'h')
LONG = RequestPlan('s', 'post', '', False, 5, maximum_attempts=2, aim=1.5)
CHECK = RequestPlan('s', 'check', '', True, 0.8, maximum_attempts=2)
CALL = RequestPlan('s', 'call', '', True, 1.5, maximum_attempts=2, aim=0.4)
SLOTS = 2
OVERLOAD_START = 50


@fixture
def overloaded():
    """Return a dispatcher without free slots, and its running requests."""
    plain = ServicePolicy('s')
    detector = PathDetector(plain, HERE)
    dispatcher = Dispatcher(plain, HERE, detector, Random(1))
    dispatcher.adopt_policy(0, make_policy(0.2, 0.7))
    identity = TargetId('s', Address('10.0.0.1', 80), 1)
    dispatcher.adopt_targets(0, (Target(identity, HERE, SLOTS, 300),))
    for step in range(20):
        plan, seconds = (CALL, 0.1) if step % 2 else (LONG, 0.5)
        sent: Any = send(dispatcher, f'l{step}', step, plan)
        dispatcher.record_written(step, sent.attempt)
        dispatcher.finish(step + seconds, sent.attempt, Answered(200))
    return dispatcher, [send(dispatcher, name, OVERLOAD_START) for name in 'xy']


def send(dispatcher, name, now, plan=LONG):
    arrival = Arrival(name, plan, now + plan.deadline, True)
    return dispatcher.admit(now, arrival)


def test_quick_requests_go_before_long_ones_that_came_first(overloaded):
    """Calls refused behind long requests failed the requests that dispatcher them."""
    dispatcher, running = overloaded
    assert isinstance(send(dispatcher, 'long', OVERLOAD_START), Wait)
    assert isinstance(send(dispatcher, 'call', OVERLOAD_START, CALL), Wait)
    dispatcher.record_written(OVERLOAD_START, running[0].attempt)
    dispatcher.finish(OVERLOAD_START + 0.1, running[0].attempt, Answered(200))
    served = dispatcher.poll(OVERLOAD_START + 0.1)
    assert [decision.request for decision in served] == ['call']


def test_a_hopeless_wait_ends_long_before_the_deadline(overloaded):
    """Requests with an aim of 1.5 s got a 503 after 5.2 s, unsent."""
    dispatcher = overloaded[0]
    send(dispatcher, 'long', OVERLOAD_START)
    over = OVERLOAD_START + STALE_AIM_FACTOR * LONG.aim
    assert not dispatcher.poll(OVERLOAD_START + 1)
    refused = dispatcher.poll(over)
    assert [type(decision) for decision in refused] == [Refuse]
    assert refused[0].failure.outcome is Outcome.NOT_RUN
    assert refused[0].failure.retry_after


def test_quick_requests_wait_to_their_deadline(overloaded):
    dispatcher, running = overloaded
    send(dispatcher, 'call', OVERLOAD_START, CALL)
    assert not dispatcher.poll(OVERLOAD_START + 1)
    dispatcher.record_written(OVERLOAD_START, running[0].attempt)
    dispatcher.finish(OVERLOAD_START + 1, running[0].attempt, Answered(200))
    assert isinstance(dispatcher.poll(OVERLOAD_START + 1)[0], Send)


def test_routes_of_high_priority_go_before_earlier_requests(overloaded):
    """While few slots are left, the highest priority is not starved.

    While most of six targets restarted, 10 of 66 requests of the highest
    priority were served, but 70 in 100 of all others.
    """
    dispatcher, running = overloaded
    usual = replace(LONG, priority=2)
    urgent = replace(LONG, priority=0)
    for number in range(3):
        waits = send(dispatcher, f'usual{number}', OVERLOAD_START, usual)
        assert isinstance(waits, Wait)
    assert isinstance(send(dispatcher, 'urgent', OVERLOAD_START, urgent), Wait)
    dispatcher.record_written(OVERLOAD_START, running[0].attempt)
    dispatcher.finish(OVERLOAD_START + 0.1, running[0].attempt, Answered(200))
    served = dispatcher.poll(OVERLOAD_START + 0.1)
    assert [decision.request for decision in served] == ['urgent']


def test_high_priority_is_not_refused_for_the_number_of_others(overloaded):
    """Only the requests before it count for its wait, not all that wait."""
    dispatcher, _ = overloaded
    usual = replace(LONG, priority=2)
    short = replace(LONG, priority=0, deadline=1.2)
    for number in range(8):
        send(dispatcher, f'usual{number}', OVERLOAD_START, usual)
    assert isinstance(send(dispatcher, 'high', OVERLOAD_START, short), Wait)


def test_without_an_aim_other_routes_do_not_refuse_a_request(overloaded):
    dispatcher, running = overloaded
    for busy in running:
        dispatcher.record_written(OVERLOAD_START, busy.attempt)
        dispatcher.finish(OVERLOAD_START + 1, busy.attempt, Answered(200))
    for number in range(20):
        plan, seconds = (LONG, 1) if number % 4 else (CHECK, 0.01)
        moment = OVERLOAD_START + 2 * number + 2
        sent = send(dispatcher, f'c{number}', moment, plan)
        dispatcher.record_written(moment, sent.attempt)
        dispatcher.finish(moment + seconds, sent.attempt, Answered(200))
    later = OVERLOAD_START + 50
    taken = [send(dispatcher, name, later) for name in 'pq']
    assert [type(decision) for decision in taken] == [Send, Send]
    assert isinstance(send(dispatcher, 'check', later, CHECK), Wait)
