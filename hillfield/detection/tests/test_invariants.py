"""Fuzz the detector: check the floor, draining and incarnations."""

from os import environ

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.healthdetector import HealthDetector
from hillfield.model import (
    Address,
    Locality,
    ServicePolicy,
    Target,
    TargetId,
    TargetState,
)
from hillfield.routing.requests import (
    Answered,
    Broken,
    CallerGone,
    ConnectFailed,
    NothingWritten,
    Observation,
    Shed,
    TimedOut,
)

LONG = environ.get('HILLFIELD_FUZZ') == 'long'
DOMAINS = ('domain-0', 'domain-1')
NUMBERS = st.integers(0, 5)
OBSERVATIONS = st.sampled_from(
    [
        Answered(200),
        Answered(500, wrong='status'),
        Broken('reset'),
        ConnectFailed('refused'),
        NothingWritten('closed'),
        Shed(),
        TimedOut(),
        CallerGone(),
    ],
)


def make_target(number: int, incarnation: int) -> Target:
    return Target(
        TargetId('search', Address(f'127.0.0.{number}', 80), incarnation),
        Locality('region', DOMAINS[number % 2], f'host-{number}'),
        slots=1 + number % 3,
        connection_limit=9,
    )


class DetectorMachine(RuleBasedStateMachine):
    """Apply any operations to a detector, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = ServicePolicy('search', floor=0.6)
        locality = Locality('region', 'domain-0', 'here')
        self.detector = HealthDetector(self.policy, locality)
        self.targets = [make_target(number, 1) for number in range(6)]
        self.now: float = 0
        self.attempt = 0
        self.open: list[tuple[TargetId, int]] = []
        self.failing: set[TargetId] = set()
        self.announce()

    def announce(self) -> None:
        self.detector.adopt_targets(self.now, tuple(self.targets))

    @rule(number=NUMBERS, state=st.sampled_from(TargetState))
    def change_state(self, number: int, state: TargetState) -> None:
        self.targets[number] = replace(self.targets[number], state=state)
        self.announce()

    @rule(number=NUMBERS)
    def restart_target(self, number: int) -> None:
        incarnation = self.targets[number].id.incarnation + 1
        self.targets[number] = make_target(number, incarnation)
        self.announce()

    @rule(floor=st.sampled_from([0, 0.3, 0.6, 1]))
    def change_floor(self, floor: float) -> None:
        self.policy = replace(self.policy, floor=floor)
        self.detector.adopt_policy(self.now, self.policy)

    @rule(number=NUMBERS, answered=st.booleans())
    def start_attempt(self, number: int, answered: bool) -> None:
        self.attempt += 1
        target = self.targets[number].id
        self.detector.record_start(self.now, target, self.attempt)
        if answered:
            self.detector.record_head(self.now, target, self.attempt)
        self.open.append((target, self.attempt))

    @rule(observation=OBSERVATIONS)
    def end_attempts(self, observation: Observation) -> None:
        for target, attempt in self.open:
            self.detector.observe(self.now, target, attempt, observation)
            self.failing.add(target)
        self.open.clear()

    @rule(number=NUMBERS, observation=OBSERVATIONS)
    def fail_repeatedly(self, number: int, observation: Observation) -> None:
        for _ in range(6):
            self.start_attempt(number, answered=False)
        self.end_attempts(observation)

    @rule(
        number=NUMBERS,
        age=st.integers(0, 1),
        domain=st.sampled_from(DOMAINS),
        symptom=st.sampled_from(Symptom),
    )
    def receive(
        self,
        number: int,
        age: int,
        domain: str,
        symptom: Symptom,
    ) -> None:
        target = self.targets[number].id
        named = replace(target, incarnation=target.incarnation - age)
        self.failing.add(named)
        evidence = (Evidence(named, symptom, 9, 9, 4),)
        for node in ('one', 'two'):
            self.detector.adopt_evidence(self.now, node, domain, evidence)

    @rule(number=NUMBERS, healthy=st.booleans())
    def probe(self, number: int, healthy: bool) -> None:
        target = self.targets[number].id
        self.detector.observe_probe(self.now, target, healthy, 0.025)

    @rule(seconds=st.sampled_from([0, 0.1, 0.1, 1, 12, 400]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.detector.tick(self.now)
        self.detector.evidence(self.now)

    @invariant()
    def floor_is_kept(self) -> None:
        rotation = self.detector.rotation()
        announced = {
            target.id: target.slots
            for target in self.targets
            if target.state is not TargetState.DRAINING
        }
        offered = {
            candidate.target.id: candidate.share
            for candidate in rotation.candidates
        }
        kept = sum(announced[target] for target in offered)
        assert kept >= self.policy.floor * sum(announced.values())
        assert bool(offered) == bool(announced)
        assert all(share > 0 for share in offered.values())
        assert rotation.floor_held <= offered.keys()

    @invariant()
    def only_targets_with_failures_are_out(self) -> None:
        for explanation in self.detector.explain(self.now):
            if explanation.state in {'ejected', 'avoided', 'trial'}:
                assert explanation.target in self.failing


DetectorMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=3000 if LONG else 60,
    stateful_step_count=60 if LONG else 40,
)
TestDetector = DetectorMachine.TestCase
