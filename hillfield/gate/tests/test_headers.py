"""The capacity that a gate reports on its answers."""

from msgspec.structs import replace
from tornado.httputil import HTTPHeaders

from hillfield.events import ListJournal
from hillfield.gate import Gate, HopDialect, ServedIncarnation
from hillfield.gate.hop import make_gate_settings
from hillfield.loadreports import WithheldWork, read_capacity
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
    gate.serve(ServedIncarnation(TARGET, 'i-1'))
    return gate


def write(gate):
    settings = make_gate_settings(ProxySettings(Address('127.0.0.1', 0)), gate)
    return settings.callers.report_capacity()


def read(gate):
    return read_capacity(IDENTITY, write(gate))


def admit(gate, name, now=0):
    plan = RequestPlan('fees', '', '', True, 5)
    return gate.admit(now, Arrival(name, plan, now + 5, True))


def test_answers_report_the_current_capacity():
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


def test_the_reported_wait_grows_with_the_queue():
    gate = open_gate()
    waits = []
    for name in 'abcd':
        admit(gate, name)
        waits.append(read(gate).wait)
    assert waits[0] == 0
    assert waits == sorted(set(waits))


def test_hanging_slots_are_not_reported_as_usable():
    gate = open_gate()
    admit(gate, 'a')
    for attempt in gate._state.table.attempts.values():
        attempt.hung = True
    assert read(gate).usable == 1
    admit(gate, 'b')
    for attempt in gate._state.table.attempts.values():
        attempt.hung = True
    # None is usable: reported as 1, since 0 means that it is not reported.
    assert read(gate).usable == 1


def test_requests_that_hang_at_an_earlier_incarnation_take_no_slot():
    gate = open_gate()
    admit(gate, 'a')
    for attempt in gate._state.table.attempts.values():
        attempt.hung = True
    later = replace(TARGET, id=replace(IDENTITY, incarnation=8))
    gate.serve(ServedIncarnation(later, 'i-2'))
    report = read_capacity(later.id, write(gate))
    assert report is not None
    assert report.usable == 2
    assert read(gate) is None


def test_a_gate_reports_quarantine():
    gate = open_gate()
    sent = admit(gate, 'a')
    gate.record_written(0, sent.attempt)
    gate.finish(0.1, sent.attempt, Broken(''))
    assert read(gate).held >= WithheldWork.USUAL


def test_a_closing_gate_reports_nothing():
    gate = open_gate()
    gate.closing = True
    assert not write(gate)


def test_a_leaving_target_is_reported_without_capacity():
    gate = open_gate()
    free = read(gate)
    leaving = replace(TARGET, state=TargetState.DRAINING)
    gate.serve(ServedIncarnation(leaving, 'i-1'))
    report = read(gate)
    assert (report.free, report.held, report.usable) == (0, WithheldWork.ALL, 0)
    assert report.number > free.number


def test_a_gate_that_never_served_a_target_reports_nothing():
    assert not write(Gate(ListJournal()))


def test_the_hop_dialect_reads_only_reports_of_the_requested_target():
    headers = HTTPHeaders({'Hillfield-Room': write(open_gate())})
    dialect = HopDialect()
    report = dialect.read_capacity(IDENTITY, headers)
    assert report is not None
    assert report.free == 2
    other = replace(IDENTITY, incarnation=6)
    assert dialect.read_capacity(other, headers) is None
    assert dialect.read_capacity(IDENTITY, HTTPHeaders()) is None


def test_reports_on_answers_are_passed_to_the_listener():
    """Nodes are informed when the reported capacity changes again."""
    gate = open_gate()
    reported = []
    gate.on_answer = lambda now, report: reported.append(report.free)
    write(gate)
    admit(gate, 'a')
    write(gate)
    assert reported == [2, 1]
