"""A target that answers wrongly for 0.5 s of each second, in simulated time."""

from msgspec.structs import replace
from pytest import mark

from hillfield.detection.healthdetector import HealthDetector
from hillfield.model import ServicePolicy
from hillfield.routing.dispatcher import Dispatcher
from hillfield.routing.requests import Answered
from hillfield.routing.simulation import ANSWER, SERVICE, Setting, Simulation

# 2 nodes, 6 targets of 4 slots, and one account that sends all of the 150
# reads a second.
SETTING = Setting(
    nodes=2,
    targets=6,
    slots=4,
    rate=150,
    seconds=4,
    deadline=2,
    accounts=1,
    policy=ServicePolicy(SERVICE, floor=0.5, retry_budget=0.2),
)
ONSET = 1.0
PERIOD = 1.0
WRONG = Answered(500, wrong='status')


class FlappingSimulation(Simulation):
    """Let the first target fail for the first half of each second."""

    def _complete(self, now, fake, node, send):
        phase = (now - ONSET) % PERIOD
        failing = now >= ONSET and phase < PERIOD / 2
        first = fake is next(iter(self._targets.values()))
        fake.busy -= 1
        observation = WRONG if failing and first else ANSWER
        self._end(now, node, send.attempt, observation)


@mark.parametrize('seed', range(40))
def test_reads_that_fail_at_a_flapping_target_are_retried_elsewhere(seed):
    # Five 500 answers within 0.1 s used up the retry tokens of an account that
    # brings all of the traffic.
    setting = replace(SETTING, seed=seed)
    tally = FlappingSimulation(setting, HealthDetector, Dispatcher).run()
    assert not tally.refused


@mark.parametrize('seed', range(4))
def test_a_service_that_fails_gets_few_retries(seed):
    broken = replace(SETTING, seed=seed, broken=True)
    tally = Simulation(broken, HealthDetector, Dispatcher).run()
    assert tally.sent - tally.arrived <= 2 * SETTING.policy.retry_burst
