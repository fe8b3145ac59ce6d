"""The load of a service as shown to operators."""

from random import Random

from pytest import fixture

from hillfield.control.loadpages import DomainLoad
from hillfield.detection.pathdetector import PathDetector
from hillfield.loadreports import LoadReport, WithheldWork
from hillfield.model import (
    Address,
    Locality,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.node.loadview import make_load
from hillfield.routing import Dispatcher
from hillfield.routing.requests import Arrival

HERE = Locality('r', 'a', 'h1')
PLAN = RequestPlan('claims', 'post', '', False, 5, aim=1.5)


def make_target(number, domain):
    identity = TargetId('claims', Address(f'10.0.0.{number}', 80), 7)
    return Target(identity, Locality('r', domain, f'h{number}'), 4, 300)


PLACES = ((1, 'a'), (2, 'a'), (3, 'b'))
TARGETS = tuple(make_target(*place) for place in PLACES)


@fixture
def dispatcher():
    policy = ServicePolicy('claims')
    made = Dispatcher(policy, HERE, PathDetector(policy, HERE), Random(1))
    made.adopt_targets(0, TARGETS)
    return made


def adopt_report_of(
    dispatcher, now, target, free, waiting=0, held=WithheldWork.NOTHING
):
    place = target.id.address
    report = LoadReport(
        'claims', place.ip, place.port, 7, 1, free, waiting, held
    )
    dispatcher.adopt_report(now, report)


def show(dispatcher, now):
    return make_load(dispatcher.explain(now))


def test_capacity_is_summed_up_by_failure_domain(dispatcher):
    adopt_report_of(dispatcher, 10, TARGETS[0], 1)
    adopt_report_of(dispatcher, 11, TARGETS[1], 0, 3, WithheldWork.USUAL)
    adopt_report_of(dispatcher, 12, TARGETS[2], 4)
    near, far = show(dispatcher, 13).domains
    assert near == DomainLoad('a', 2, 8, 1, 3, 1, 3)
    assert far == DomainLoad('b', 1, 4, 4, 0, 0, 1)


def test_targets_without_a_report_are_counted(dispatcher):
    adopt_report_of(dispatcher, 10, TARGETS[0], 1)
    assert show(dispatcher, 10).silent == 2


def test_requests_sent_since_the_report_reduce_free_slots(dispatcher):
    adopt_report_of(dispatcher, 10, TARGETS[0], 1)
    dispatcher.admit(10.1, Arrival('r1', PLAN, 15, True))
    load = show(dispatcher, 10.2)
    assert load.in_flight == 1
    assert load.admitted == 1
