"""Which calls of a target count as made by repeated runs."""

from msgspec.structs import replace

from hillfield.gate.calls import CALLED_SECONDS, Call, CallParents
from hillfield.model import (
    Address,
    Locality,
    RepeatKind,
    RequestPlan,
    Target,
    TargetId,
)
from hillfield.routing.records import AttemptRecord, RequestRecord
from hillfield.routing.requests import Arrival

TARGET = Target(
    TargetId('claims', Address('127.0.0.1', 8000), 7),
    Locality('north', 'a', 'h1'),
    5,
    300,
)
PLAN = RequestPlan('claims', 'r', 'till', True, 1)
CALLS = 100


def run(request, repeat=None):
    arrival = Arrival(request, replace(PLAN, repeat=repeat), 1.0, True)
    return AttemptRecord(1, RequestRecord(arrival), TARGET, 0)


def tell(parents, request, running):
    return parents.record_call(0, Call(request, 'fees', keyless=True), running)


FIRST = run('a1')
RETRIED = run('b2', RepeatKind.RETRY)


def test_a_call_whose_id_extends_that_of_a_repeated_run_is_a_repeat():
    parents = CallParents()
    assert tell(parents, 'b2.7', (FIRST, RETRIED))
    assert not tell(parents, 'a1.7', (FIRST, RETRIED))


def test_a_call_of_a_call_belongs_to_the_run_with_the_longest_id():
    nested = run('b2.7', None)
    assert not tell(CallParents(), 'b2.7.1', (RETRIED, nested))


def test_a_request_that_runs_here_is_no_call_of_itself():
    parents = CallParents()
    tell(parents, 'a1.7', (FIRST,))
    assert not tell(parents, 'b2', (RETRIED,))


def test_ids_that_tell_nothing_are_counted_by_the_share_of_repeated_runs():
    parents = CallParents()
    counted = sum(
        tell(parents, f'x{number}', (FIRST, FIRST, FIRST, RETRIED))
        for number in range(CALLS)
    )
    assert counted == CALLS / 4


def test_once_ids_tell_other_requests_of_the_host_are_no_calls():
    parents = CallParents()
    tell(parents, 'a1.7', (FIRST, RETRIED))
    assert not any(
        tell(parents, f'x{number}', (RETRIED,)) for number in range(CALLS)
    )


def test_no_run_has_made_a_request_of_an_idle_host():
    assert not tell(CallParents(), 'a1.7', ())


def test_a_route_counts_as_calling_what_its_runs_have_called():
    parents = CallParents()
    tell(parents, 'a1.7', (FIRST,))
    assert parents.list_called(1, 'r') == ('fees',)
    assert not parents.list_called(1, 'other')
    assert not parents.list_called(CALLED_SECONDS, 'r')


def test_where_callers_have_no_keys_only_ids_tell_calls():
    parents = CallParents()
    assert not any(
        parents.record_call(0, Call(f'x{number}', 'fees'), (RETRIED,))
        for number in range(CALLS)
    )
