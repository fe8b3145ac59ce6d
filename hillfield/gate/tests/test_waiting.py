"""A request's wait for a slot is bounded by the duration of its own route."""

from pytest import fixture

from hillfield.events import ListJournal
from hillfield.gate import Gate, ServedIncarnation
from hillfield.model import Address, Locality, RequestPlan, Target, TargetId
from hillfield.routing.requests import Answered, Arrival, Refuse, Send, Wait

TARGET = Target(
    TargetId('records', Address('127.0.0.1', 80), 1),
    Locality('r', 'a', 'h'),
    slots=4,
    connection_limit=300,
)
LONG = RequestPlan('records', 'post', '', False, 15, priority=1, aim=5)
SHORT = RequestPlan('records', 'check', '', True, 1, aim=1)
WORK = 1.5
LATER = 60


@fixture
def full():
    """Return a gate whose slots are all taken by long requests."""
    gate = Gate(ListJournal())
    gate.serve(ServedIncarnation(TARGET, 'i-1'))
    for number in range(20):
        moment = 2.0 * number
        attempt = send(gate, moment, f'l{number}', LONG).attempt
        gate.finish(moment + WORK, attempt, Answered(200))
    running = [
        send(gate, LATER + 0.3 * order, f'r{order}', LONG).attempt
        for order in range(TARGET.slots)
    ]
    return gate, running


def ask(gate, now, name, plan):
    return gate.admit(now, Arrival(name, plan, now + plan.deadline, True))


def send(gate, now, name, plan):
    sent = ask(gate, now, name, plan)
    assert isinstance(sent, Send)
    return sent


def test_a_short_deadline_is_not_measured_by_other_requests_durations(full):
    gate, running = full
    assert isinstance(ask(gate, LATER + 1.2, 'short', SHORT), Wait)
    assert not gate.poll(LATER + 1.21)
    gate.finish(LATER + WORK, running[0], Answered(200))
    decisions = gate.poll(LATER + WORK)
    assert [type(decision) for decision in decisions] == [Send]
    assert decisions[0].request == 'short'


def test_a_request_that_cannot_be_answered_in_time_is_declined(full):
    gate, _ = full
    assert isinstance(ask(gate, LATER + 1.2, 'short', SHORT), Wait)
    decisions = gate.poll(LATER + 1.2 + SHORT.deadline)
    assert [type(decision) for decision in decisions] == [Refuse]
