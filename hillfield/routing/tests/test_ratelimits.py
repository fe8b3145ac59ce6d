"""Requests to a service whose targets are at their rate limits."""

from itertools import starmap
from operator import sub
from random import Random

from pytest import fixture

from hillfield.detection.pathdetector import PathDetector
from hillfield.events import EventCode
from hillfield.hostroutes.node_policy import make_policy
from hillfield.loadreports import LoadReport, WithheldWork
from hillfield.model import (
    Address,
    IncarnationNotice,
    Locality,
    Outcome,
    RequestPlan,
    Target,
    TargetId,
)
from hillfield.routing import Dispatcher
from hillfield.routing.declining import Declined
from hillfield.routing.requests import Answered, Arrival, Refuse, Send

HERE = Locality('r', 'a', 'h')
LEAST_GAP = 0.02
PLAN = RequestPlan('s', 'get', '', True, 4, maximum_attempts=2, aim=0.8)
TARGETS = tuple(
    TargetId('s', Address(f'10.0.0.{number}', 80), 1) for number in range(3)
)


class Service:
    """Stand in for three targets of one failure domain and their gates."""

    def __init__(self):
        policy = make_policy(0.2, 0.7)
        detector = PathDetector(policy, HERE)
        self.dispatcher = Dispatcher(policy, HERE, detector, Random(1))
        self.dispatcher.adopt_targets(
            0,
            tuple(Target(target, HERE, 4, 360) for target in TARGETS),
        )
        self.count = 0

    def report(self, target, free, wait, rate=2.0, held=WithheldWork.NOTHING):
        self.count += 1
        notice = None if rate is None else IncarnationNotice('i', rate)
        self.dispatcher.adopt_report(
            0,
            LoadReport(
                's',
                target.address.ip,
                80,
                1,
                self.count,
                free,
                held=held,
                wait=wait,
                notice=notice,
            ),
        )

    def send(self, name='a', now=0):
        arrival = Arrival(name, PLAN, now + 4, True)
        return self.dispatcher.admit(now, arrival)


@fixture
def service():
    made = Service()
    for target in TARGETS:
        made.report(target, 0, 2.0)
    return made


def test_a_request_that_no_target_accepts_in_time_is_refused(service):
    decision = service.send()
    assert isinstance(decision, Refuse)
    assert decision.failure.event == EventCode.SERVICE_LIMITED
    assert decision.failure.outcome is Outcome.NOT_RUN
    returns = decision.failure.retry_after or 0
    assert 2 <= returns <= 4


def test_requests_refused_together_are_not_retried_together(service):
    failures = [service.send(f'r{number}').failure for number in range(20)]
    returns = sorted(failure.retry_after for failure in failures)
    gaps = starmap(sub, zip(returns[1:], returns))
    assert min(gaps) > LEAST_GAP


def test_a_target_below_its_limit_gets_the_request(service):
    service.report(TARGETS[1], 1, 0)
    decision = service.send()
    assert isinstance(decision, Send)
    assert decision.target == TARGETS[1]


def test_requests_wait_for_a_target_without_a_limit(service):
    service.report(TARGETS[1], 0, 2.0, rate=None)
    assert not isinstance(service.send(), Refuse)


def test_requests_wait_for_a_limit_that_admits_them_in_time(service):
    service.report(TARGETS[2], 0, 0.1)
    assert not isinstance(service.send(), Refuse)


def test_a_target_whose_gate_withholds_work_is_not_waited_for(service):
    service.report(TARGETS[2], 0, 0.1, held=WithheldWork.ALL)
    assert isinstance(service.send(), Refuse)


def test_a_request_declined_at_the_limits_is_not_sent_on():
    service = Service()
    for target in TARGETS:
        service.report(target, 1, 0)
    sent = service.send()
    for target in TARGETS:
        service.report(target, 0, 2.0)
    decision = service.dispatcher.finish(0.01, sent.attempt, Declined('late'))
    assert isinstance(decision, Refuse)


def test_the_end_of_a_request_restores_no_rate():
    service = Service()
    for target in TARGETS[1:]:
        service.report(target, 0, 2.0)
    service.report(TARGETS[0], 1, 0)
    sent = service.send()
    service.dispatcher.record_written(0, sent.attempt)
    service.dispatcher.finish(0.1, sent.attempt, Answered(200))
    capacities = service.dispatcher.explain(0.1).rooms
    assert {room.free for room in capacities} == {0}


def test_a_node_without_new_reports_tries_again(service):
    assert isinstance(service.send('a', 0.5), Refuse)
    assert not isinstance(service.send('b', 1.5), Refuse)
