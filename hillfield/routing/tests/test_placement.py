"""Selection of targets by the capacity that their gates report."""

from random import Random
from typing import Any

from msgspec.structs import replace
from pytest import fixture

from hillfield.detection.pathdetector import PathDetector
from hillfield.hostroutes.node_policy import make_policy
from hillfield.loadreports import LoadReport, WithheldWork
from hillfield.model import (
    Address,
    Locality,
    RequestPlan,
    Target,
    TargetId,
)
from hillfield.routing import Dispatcher
from hillfield.routing.capacity import REPORT_LIFETIME, CapacityTable
from hillfield.routing.requests import Answered, Arrival, Send

HERE = Locality('r', 'a', 'h')
THERE = Locality('r', 'b', 'h')
SLOTS = 5
NEAR = (0, 1)
FAR = (2, 3)
POST = RequestPlan('s', 'post', '', False, 5, maximum_attempts=2, aim=1.5)
LOOKUP = RequestPlan('s', 'get', '', True, 4, maximum_attempts=2, aim=1.5)


def identify(number):
    return TargetId('s', Address(f'10.0.0.{number}', 80), 1)


class Fleet:
    """Stand in for the gates of two near and two far targets."""

    def __init__(self):
        policy = make_policy(0.2, 0.7)
        detector = PathDetector(policy, HERE)
        self.dispatcher = Dispatcher(policy, HERE, detector, Random(1))
        targets = tuple(
            Target(
                identify(number),
                HERE if number in NEAR else THERE,
                SLOTS,
                360,
            )
            for number in (*NEAR, *FAR)
        )
        self.dispatcher.adopt_targets(0, targets)
        self.count = 0

    def report(self, number, free, waiting=0, held=WithheldWork.NOTHING, now=0):
        self.count += 1
        identity = identify(number)
        self.dispatcher.adopt_report(
            now,
            LoadReport(
                's',
                identity.address.ip,
                identity.address.port,
                1,
                self.count,
                free,
                waiting,
                held,
            ),
        )

    def place(self, name='r', plan=POST, now=0):
        arrival = Arrival(name, plan, now + plan.deadline, True)
        sent = self.dispatcher.admit(now, arrival)
        assert isinstance(sent, Send)
        return int(sent.target.address.ip.rpartition('.')[2])

    def place_many(self, count=40, plan=POST):
        return {self.place(f'r{step}', plan) for step in range(count)}

    def learn(self, seconds):
        for step in range(20):
            arrival = Arrival(f'l{step}', POST, 10, True)
            sent: Any = self.dispatcher.admit(0, arrival)
            self.dispatcher.record_written(0, sent.attempt)
            self.dispatcher.finish(seconds, sent.attempt, Answered(200))


@fixture
def fleet():
    return Fleet()


def test_requests_stay_near_while_slots_are_free(fleet):
    """A busy near target made requests leave the failure domain."""
    for number in (*NEAR, *FAR):
        fleet.report(number, SLOTS)
    assert fleet.place_many(2 * SLOTS) <= set(NEAR)


def test_sent_requests_count_before_the_next_report(fleet):
    fleet.report(0, 1)
    fleet.report(1, 1)
    fleet.report(2, 5)
    fleet.report(3, 5)
    first = [fleet.place(name) for name in 'ab']
    assert set(first) == set(NEAR)


def test_a_short_wait_nearby_is_preferred_to_another_domain(fleet):
    fleet.learn(0.4)
    for number in NEAR:
        fleet.report(number, 0)
    for number in FAR:
        fleet.report(number, SLOTS)
    assert fleet.place() in NEAR


def test_a_wait_that_makes_the_answer_late_leaves_the_domain(fleet):
    fleet.learn(0.4)
    for number in NEAR:
        fleet.report(number, 0, waiting=15)
    for number in FAR:
        fleet.report(number, SLOTS)
    assert fleet.place() in FAR


def test_if_all_targets_are_full_no_request_leaves_the_domain(fleet):
    """Of 9,500 requests sent to other domains, 8,300 were declined there."""
    fleet.learn(0.4)
    for number in NEAR:
        fleet.report(number, 0, waiting=15)
    for number in FAR:
        fleet.report(number, 0, waiting=15)
    assert fleet.place() in NEAR


def test_non_idempotent_requests_avoid_suspected_targets(fleet):
    fleet.report(0, SLOTS, held=WithheldWork.ONCE)
    fleet.report(1, SLOTS)
    assert fleet.place_many(4) == {1}


def test_idempotent_requests_do_not_avoid_suspected_targets(fleet):
    fleet.report(0, SLOTS, held=WithheldWork.ONCE)
    fleet.report(1, SLOTS)
    assert fleet.place_many(8, LOOKUP) == {0, 1}


def test_only_a_gate_that_waits_for_a_trial_gets_one(fleet):
    fleet.dispatcher.tick(10)
    fleet.report(0, SLOTS, held=WithheldWork.ALL)
    fleet.report(1, SLOTS)
    assert fleet.place_many(4, LOOKUP) == {1}
    fleet.report(0, SLOTS, held=WithheldWork.USUAL)
    fleet.report(1, SLOTS)
    assert fleet.place_many(6, LOOKUP) == {0, 1}


def test_targets_that_withhold_all_work_are_the_last_choice(fleet):
    for number in (*NEAR, *FAR):
        fleet.report(number, SLOTS, held=WithheldWork.ALL)
    assert fleet.place() in {*NEAR, *FAR}


def test_an_older_report_changes_nothing():
    capacities = CapacityTable()
    address = identify(0).address
    newer = LoadReport('s', address.ip, address.port, 1, 9, 0)
    older = LoadReport('s', address.ip, address.port, 1, 8, 5)
    capacities.record_report(0, newer)
    capacities.record_report(0, older)
    assert capacities.list_full(0) == (identify(0),)


def test_reports_expire():
    capacities = CapacityTable()
    address = identify(0).address
    report = LoadReport('s', address.ip, address.port, 1, 1, 0)
    capacities.record_report(0, report)
    assert capacities.has_reports(REPORT_LIFETIME)
    assert not capacities.has_reports(REPORT_LIFETIME + 0.1)
    assert not capacities.list_full(REPORT_LIFETIME + 0.1)


def test_the_end_of_a_request_restores_capacity():
    """With many receiving nodes, reports are rarer than requests."""
    capacities = CapacityTable()
    report = LoadReport('s', '10.0.0.1', 80, 1, 1, 1)
    capacities.record_report(0, report)
    capacities.count_sent(report.target)
    assert capacities.list_full(0) == (report.target,)
    capacities.count_ended(report.target)
    assert not capacities.list_full(0)


def test_requests_that_a_newer_report_counts_restore_nothing():
    capacities = CapacityTable()
    report = LoadReport('s', '10.0.0.1', 80, 1, 1, 1)
    capacities.record_report(0, report)
    capacities.count_sent(report.target)
    newer = replace(report, number=2, free=0)
    capacities.record_report(0, newer)
    capacities.count_ended(report.target)
    assert capacities.list_full(0) == (report.target,)
