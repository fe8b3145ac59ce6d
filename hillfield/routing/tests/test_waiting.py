"""Who goes first where a service is crowded, and how long one waits."""

from random import Random
from typing import Any

from msgspec.structs import replace
from pytest import fixture

from hillfield.detection.paths import PathBoard
from hillfield.hostroutes.allowances import make_policy
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
from hillfield.routing.waiting import STALE_AIM_FACTOR
from hillfield.routing.requests import Answered, Arrival, Refuse, Send, Wait

HERE = Locality('r', 'a', 'h')
LONG = RequestPlan('s', 'post', '', False, 5, maximum_attempts=2, aim=1.5)
CHECK = RequestPlan('s', 'check', '', True, 0.8, maximum_attempts=2)
CALL = RequestPlan('s', 'call', '', True, 1.5, maximum_attempts=2, aim=0.4)
SLOTS = 2
AFTER_CROWD = 50


@fixture
def crowded():
    """Return decisions of one target whose slots are taken."""
    plain = ServicePolicy('s')
    board = PathBoard(plain, HERE)
    made = Dispatcher(plain, HERE, board, Random(1))
    made.adopt_policy(0, make_policy(0.2, 0.7))
    identity = TargetId('s', Address('10.0.0.1', 80), 1)
    made.adopt_targets(0, (Target(identity, HERE, SLOTS, 300),))
    for step in range(20):
        plan, seconds = (CALL, 0.1) if step % 2 else (LONG, 0.5)
        sent: Any = send(made, f'l{step}', step, plan)
        made.note_written(step, sent.attempt)
        made.finish(step + seconds, sent.attempt, Answered(200))
    return made, [send(made, name, AFTER_CROWD) for name in 'xy']


def send(dispatcher, name, now, plan=LONG):
    arrival = Arrival(name, plan, now + plan.deadline, True)
    return dispatcher.admit(now, arrival)


def test_quick_requests_go_before_long_ones_that_came_first(crowded):
    """Calls that were refused behind long requests failed their parents."""
    dispatcher, running = crowded
    assert isinstance(send(dispatcher, 'long', AFTER_CROWD), Wait)
    assert isinstance(send(dispatcher, 'call', AFTER_CROWD, CALL), Wait)
    dispatcher.note_written(AFTER_CROWD, running[0].attempt)
    dispatcher.finish(AFTER_CROWD + 0.1, running[0].attempt, Answered(200))
    served = dispatcher.poll(AFTER_CROWD + 0.1)
    assert [decision.request for decision in served] == ['call']


def test_a_wait_in_vain_ends_long_before_the_deadline(crowded):
    """Requests were told 503 at 5.2 s, untried, of 1.5 s that count."""
    dispatcher = crowded[0]
    send(dispatcher, 'long', AFTER_CROWD)
    over = AFTER_CROWD + STALE_AIM_FACTOR * LONG.aim
    assert not dispatcher.poll(AFTER_CROWD + 1)
    refused = dispatcher.poll(over)
    assert [type(decision) for decision in refused] == [Refuse]
    assert refused[0].failure.outcome is Outcome.NOT_RUN
    assert refused[0].failure.retry_after


def test_quick_requests_wait_to_their_deadline(crowded):
    dispatcher, running = crowded
    send(dispatcher, 'call', AFTER_CROWD, CALL)
    assert not dispatcher.poll(AFTER_CROWD + 1)
    dispatcher.note_written(AFTER_CROWD, running[0].attempt)
    dispatcher.finish(AFTER_CROWD + 1, running[0].attempt, Answered(200))
    assert isinstance(dispatcher.poll(AFTER_CROWD + 1)[0], Send)


def test_routes_of_high_rank_go_before_others_that_came_first(crowded):
    """Where few slots are left, what ranks highest isn't starved by others.

    Six targets of which most were restarted served 10 of 66 requests of the
    highest rank while 70 in 100 of all others were served.
    """
    dispatcher, running = crowded
    usual = replace(LONG, priority=2)
    urgent = replace(LONG, priority=0)
    for number in range(3):
        waits = send(dispatcher, f'usual{number}', AFTER_CROWD, usual)
        assert isinstance(waits, Wait)
    assert isinstance(send(dispatcher, 'urgent', AFTER_CROWD, urgent), Wait)
    dispatcher.note_written(AFTER_CROWD, running[0].attempt)
    dispatcher.finish(AFTER_CROWD + 0.1, running[0].attempt, Answered(200))
    served = dispatcher.poll(AFTER_CROWD + 0.1)
    assert [decision.request for decision in served] == ['urgent']


def test_high_rank_is_not_refused_for_the_number_of_others(crowded):
    """Its wait is counted from those before it, not from all that wait."""
    dispatcher, _ = crowded
    usual = replace(LONG, priority=2)
    short = replace(LONG, priority=0, deadline=1.2)
    for number in range(8):
        send(dispatcher, f'usual{number}', AFTER_CROWD, usual)
    assert isinstance(send(dispatcher, 'low', AFTER_CROWD, short), Wait)


def test_without_an_aim_a_short_deadline_is_not_measured_by_other_work(crowded):
    dispatcher, running = crowded
    for busy in running:
        dispatcher.note_written(AFTER_CROWD, busy.attempt)
        dispatcher.finish(AFTER_CROWD + 1, busy.attempt, Answered(200))
    for number in range(20):
        plan, seconds = (LONG, 1) if number % 4 else (CHECK, 0.01)
        moment = AFTER_CROWD + 2 * number + 2
        sent = send(dispatcher, f'c{number}', moment, plan)
        dispatcher.note_written(moment, sent.attempt)
        dispatcher.finish(moment + seconds, sent.attempt, Answered(200))
    later = AFTER_CROWD + 50
    taken = [send(dispatcher, name, later) for name in 'pq']
    assert [type(decision) for decision in taken] == [Send, Send]
    assert isinstance(send(dispatcher, 'check', later, CHECK), Wait)
