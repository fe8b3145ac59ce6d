"""How long a request may wait for a slot, by its own length."""

from pytest import fixture

from hillfield.events import ListJournal
from hillfield.gate import Gate, Seat
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
    """Return a gate whose slots are taken for as long as its work takes."""
    gate = Gate(ListJournal())
    gate.take_seat(Seat(TARGET, 'i-1'))
    for number in range(20):
        moment = 2.0 * number
        attempt = send(gate, moment, f'l{number}', LONG).attempt
        gate.finish(moment + WORK, attempt, Answered(200))
    running = [
        send(gate, LATER + 0.3 * turn, f'r{turn}', LONG).attempt
        for turn in range(TARGET.slots)
    ]
    return gate, running


def ask(gate, now, name, plan):
    return gate.admit(now, Arrival(name, plan, now + plan.deadline, True))


def send(gate, now, name, plan):
    sent = ask(gate, now, name, plan)
    assert isinstance(sent, Send)
    return sent


def test_a_short_deadline_is_not_measured_by_the_length_of_other_work(full):
    gate, running = full
    assert isinstance(ask(gate, LATER + 1.2, 'short', SHORT), Wait)
    assert not gate.poll(LATER + 1.21)
    gate.finish(LATER + WORK, running[0], Answered(200))
    served = gate.poll(LATER + WORK)
    assert [type(verdict) for verdict in served] == [Send]
    assert served[0].request == 'short'


def test_what_can_no_longer_be_answered_in_time_is_declined(full):
    gate, _ = full
    assert isinstance(ask(gate, LATER + 1.2, 'short', SHORT), Wait)
    refused = gate.poll(LATER + 1.2 + SHORT.deadline)
    assert [type(verdict) for verdict in refused] == [Refuse]
