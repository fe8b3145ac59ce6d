"""Clients' requests and calls told apart."""

from dataclasses import dataclass

from hillfield.model import RequestPlan
from hillfield.node.sightings import QUIET, Sightings
from hillfield.repeats import ACCOUNTS, Sighting

CALL = RequestPlan('fees', 'check', '', True, 1)
REQUEST = RequestPlan('fees', 'upload', 'shop', False, 1)


@dataclass
class Target:
    running: int = 0
    repeated: float = 0

    def count_running(self):
        return self.running

    def find_repeated(self):
        return self.repeated


def test_a_request_with_an_account_is_a_clients():
    target = Target(running=2, repeated=0.5)
    seen = Sightings(0, target).see(9, REQUEST)
    assert (seen.route, seen.repeated) == (ACCOUNTS, 0)


def test_a_request_while_the_target_runs_something_proves_nothing():
    target = Target(running=1, repeated=0.5)
    sightings = Sightings(0, target)
    seen = sightings.see(9, CALL)
    assert seen == Sighting('fees', 'check', proof=False, repeated=0.5)
    target.running = 0
    assert not sightings.see(9 + QUIET / 2, CALL).proof
    assert sightings.see(9 + QUIET, CALL).proof


def test_a_node_that_has_just_started_proves_nothing():
    assert not Sightings(5, Target()).see(5.5, CALL).proof
