"""What a gate tells on its answers."""

from msgspec.structs import replace
from tornado.httputil import HTTPHeaders

from hillfield.events import ListJournal
from hillfield.gate import Gate, HopDialect, Seat
from hillfield.gate.headers import add_room
from hillfield.loadreports import Held, read_room
from hillfield.model import (
    Address,
    Locality,
    RequestPlan,
    Target,
    TargetId,
    TargetState,
)
from hillfield.proxy import ProxySettings
from hillfield.routing.requests import Answered, Arrival, Broken

IDENTITY = TargetId('fees', Address('127.0.0.1', 8000), 7)
TARGET = Target(IDENTITY, Locality('r', 'a', 'h1'), 2, 300)


def open_gate():
    gate = Gate(ListJournal())
    gate.take_seat(Seat(TARGET, 'i-1'))
    return gate


def tell(gate):
    settings = add_room(ProxySettings(Address('127.0.0.1', 0)), gate)
    return settings.callers.tell_room()


def read(gate):
    return read_room(IDENTITY, tell(gate))


def admit(gate, name, now=0):
    plan = RequestPlan('fees', '', '', True, 5)
    return gate.admit(now, Arrival(name, plan, now + 5, True))


def test_answers_tell_the_room_as_it_is():
    gate = open_gate()
    free = read(gate)
    assert (free.free, free.wait, free.usable) == (2, 0, 2)
    sent = admit(gate, 'a')
    admit(gate, 'b')
    full = read(gate)
    assert full.free == 0
    assert full.wait > 0
    assert full.number > free.number
    gate.finish(0.1, sent.attempt, Answered(200))
    assert read(gate).free == 1


def test_one_more_waits_longer_where_others_wait():
    gate = open_gate()
    waits = []
    for name in 'abcd':
        admit(gate, name)
        waits.append(read(gate).wait)
    assert waits[0] == 0
    assert waits == sorted(set(waits))


def test_slots_whose_requests_hang_are_not_told_as_usable():
    gate = open_gate()
    admit(gate, 'a')
    for attempt in gate._state.table.attempts.values():
        attempt.hung = True
    assert read(gate).usable == 1
    admit(gate, 'b')
    for attempt in gate._state.table.attempts.values():
        attempt.hung = True
    # None does useful work: told as 1, since 0 is for those that don't tell.
    assert read(gate).usable == 1


def test_requests_that_hang_at_an_earlier_life_take_no_slot():
    gate = open_gate()
    admit(gate, 'a')
    for attempt in gate._state.table.attempts.values():
        attempt.hung = True
    later = replace(TARGET, id=replace(IDENTITY, incarnation=8))
    gate.take_seat(Seat(later, 'i-2'))
    told = read_room(later.id, tell(gate))
    assert told is not None
    assert told.usable == 2
    assert read(gate) is None


def test_a_gate_that_shuns_its_target_says_so():
    gate = open_gate()
    sent = admit(gate, 'a')
    gate.note_written(0, sent.attempt)
    gate.finish(0.1, sent.attempt, Broken(''))
    assert read(gate).held >= Held.USUAL


def test_nothing_is_told_by_a_gate_that_closes():
    gate = open_gate()
    gate.closing = True
    assert not tell(gate)


def test_a_target_that_is_not_to_be_used_is_told_as_without_room():
    gate = open_gate()
    free = read(gate)
    leaving = replace(TARGET, state=TargetState.DRAINING)
    gate.take_seat(Seat(leaving, 'i-1'))
    told = read(gate)
    assert (told.free, told.held, told.usable) == (0, Held.ALL, 0)
    assert told.number > free.number


def test_nothing_is_told_where_no_target_has_been():
    assert not tell(Gate(ListJournal()))


def test_the_hop_dialect_reads_only_what_is_told_of_the_target_meant():
    headers = HTTPHeaders({'Hillfield-Room': tell(open_gate())})
    dialect = HopDialect()
    told = dialect.read_room(IDENTITY, headers)
    assert told is not None
    assert told.free == 2
    other = replace(IDENTITY, incarnation=6)
    assert dialect.read_room(other, headers) is None
    assert dialect.read_room(IDENTITY, HTTPHeaders()) is None


def test_what_answers_tell_is_noted():
    """Others are told when it no longer holds."""
    gate = open_gate()
    noted = []
    gate.on_answer = lambda now, report: noted.append(report.free)
    tell(gate)
    admit(gate, 'a')
    tell(gate)
    assert noted == [2, 1]
