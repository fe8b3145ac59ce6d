"""Which calls of a target count as made by repeated runs."""

from msgspec.structs import replace

from hillfield.gate.parents import CallParents
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


FIRST = run('a1')
RETRIED = run('b2', RepeatKind.RETRY)


def test_a_call_whose_id_extends_that_of_a_repeated_run_is_a_repeat():
    parents = CallParents()
    assert parents.is_called_by_repeat('b2.7', (FIRST, RETRIED))
    assert not parents.is_called_by_repeat('a1.7', (FIRST, RETRIED))


def test_a_call_of_a_call_belongs_to_the_run_with_the_longest_id():
    nested = run('b2.7', None)
    assert not CallParents().is_called_by_repeat('b2.7.1', (RETRIED, nested))


def test_a_request_that_runs_here_is_no_call_of_itself():
    parents = CallParents()
    parents.is_called_by_repeat('a1.7', (FIRST,))
    assert not parents.is_called_by_repeat('b2', (RETRIED,))


def test_ids_that_tell_nothing_are_counted_by_the_share_of_repeated_runs():
    parents = CallParents()
    counted = sum(
        parents.is_called_by_repeat(
            f'x{number}', (FIRST, FIRST, FIRST, RETRIED)
        )
        for number in range(CALLS)
    )
    assert counted == CALLS / 4


def test_once_ids_tell_other_requests_of_the_host_are_no_calls():
    parents = CallParents()
    parents.is_called_by_repeat('a1.7', (FIRST, RETRIED))
    assert not any(
        parents.is_called_by_repeat(f'x{number}', (RETRIED,))
        for number in range(CALLS)
    )


def test_no_run_has_made_a_request_of_an_idle_host():
    assert not CallParents().is_called_by_repeat('a1.7', ())
