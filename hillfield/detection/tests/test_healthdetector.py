"""Test the detection of unhealthy targets from real requests."""

import pytest
from msgspec.structs import replace

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.explanations import TargetExplanation
from hillfield.detection.healthdetector import HealthDetector
from hillfield.events import EventCode
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
    Observation,
    Shed,
    TimedOut,
)

HERE = Locality('region', 'a', 'node')
HALF = 0.5
TENTH = 0.1
PLAIN = ServicePolicy('search')
FINE = Answered(200)
WRONG = Answered(200, wrong='prefix')


def make_target(
    number: int,
    domain: str = 'a',
    incarnation: int = 1,
) -> Target:
    return Target(
        TargetId('search', Address(f'127.0.0.{number}', 80), incarnation),
        Locality('region', domain, f'host-{number}'),
        slots=4,
        connection_limit=300,
    )


TARGETS = tuple(make_target(number) for number in range(1, 7))
UNHEALTHY = TARGETS[0].id


class ServiceDriver:
    """Send requests one by one to targets that answer as asked."""

    def __init__(self, policy: ServicePolicy = PLAIN) -> None:
        self.detector = HealthDetector(policy, HERE)
        self.detector.adopt_targets(0, TARGETS)
        self.now: float = 0
        self.attempt = 0
        self.codes: list[EventCode] = []

    def call(
        self,
        target: TargetId,
        observation: Observation = FINE,
        seconds: float = 0.03,
    ) -> None:
        self.attempt += 1
        self.detector.record_start(self.now, target, self.attempt)
        ended = self.now + seconds
        if isinstance(observation, Answered):
            self.detector.record_head(ended, target, self.attempt)
        self.detector.observe(ended, target, self.attempt, observation)

    def pass_time(self, seconds: float = 0.1) -> None:
        self.now += seconds
        for occurrence in self.detector.tick(self.now):
            self.codes.append(occurrence.code)

    def work(
        self,
        rounds: int,
        observation: Observation = FINE,
        seconds: float = 0.03,
        everywhere: bool = False,
    ) -> None:
        for _ in range(rounds):
            for candidate in self.detector.rotation().candidates:
                target = candidate.target.id
                if everywhere or target == UNHEALTHY:
                    self.call(target, observation, seconds)
                else:
                    self.call(target)
            self.pass_time()

    def serves(self, target: TargetId = UNHEALTHY) -> bool:
        return self.share(target) > 0

    def share(self, target: TargetId = UNHEALTHY) -> float:
        return {
            candidate.target.id: candidate.share
            for candidate in self.detector.rotation().candidates
        }.get(target, 0)

    def explain(self, target: TargetId = UNHEALTHY) -> TargetExplanation:
        return next(
            explanation
            for explanation in self.detector.explain(self.now)
            if explanation.target == target
        )


@pytest.mark.parametrize(
    ('observation', 'seconds', 'symptom', 'code'),
    [
        (WRONG, 0.03, Symptom.WRONG, EventCode.TARGET_EJECTED),
        (FINE, 0.15, Symptom.SLOW, EventCode.TARGET_EJECTED),
        (Broken('reset'), 0.01, Symptom.BROKEN, EventCode.TARGET_AVOIDED),
        (TimedOut(), 0.05, Symptom.STALLED, EventCode.TARGET_AVOIDED),
        (
            ConnectFailed('no'),
            0.01,
            Symptom.UNREACHABLE,
            EventCode.TARGET_AVOIDED,
        ),
    ],
)
def test_unhealthy_target_leaves_rotation(observation, seconds, symptom, code):
    service = ServiceDriver()
    service.work(20)
    service.work(8, observation, seconds)
    assert not service.serves()
    assert code in service.codes
    assert service.explain().symptom is symptom
    assert service.serves(TARGETS[1].id)


@pytest.mark.parametrize('observation', [Shed(), CallerGone()])
def test_shed_answers_and_lost_callers_are_no_evidence(observation):
    service = ServiceDriver()
    service.work(20)
    service.work(30, observation)
    assert service.serves()


def test_shed_answer_lowers_the_share_for_a_second():
    service = ServiceDriver()
    service.call(UNHEALTHY, Shed())
    service.pass_time()
    assert service.share() == HALF
    service.pass_time(1.1)
    assert service.share() == 1


def test_stall_is_detected_before_it_times_out():
    service = ServiceDriver()
    service.work(20)
    for attempt in range(1000, 1005):
        service.detector.record_start(service.now, UNHEALTHY, attempt)
    for _ in range(6):
        service.pass_time()
    assert not service.serves()
    assert service.explain().symptom is Symptom.STALLED


@pytest.mark.parametrize(
    ('observation', 'seconds'),
    [(WRONG, 0.03), (FINE, 0.15), (ConnectFailed('no'), 0.01)],
)
def test_failures_of_all_targets_eject_none(observation, seconds):
    service = ServiceDriver()
    service.work(20)
    service.work(20, observation, seconds, everywhere=True)
    assert len(service.detector.rotation().candidates) == len(TARGETS)


def test_time_outs_of_a_common_stall_eject_none():
    service = ServiceDriver()
    service.work(20)
    started = [(target.id, call) for target in TARGETS for call in range(8)]
    for attempt, (target, _) in enumerate(started, start=1000):
        service.detector.record_start(service.now, target, attempt)
    for _ in range(20):
        service.pass_time()
    for attempt, (target, _) in enumerate(started, start=1000):
        service.detector.observe(service.now, target, attempt, TimedOut())
        service.pass_time(0.05)
    assert len(service.detector.rotation().candidates) == len(TARGETS)


def test_one_error_in_little_traffic_ejects_nothing():
    service = ServiceDriver()
    service.work(3)
    service.pass_time(60)
    service.call(UNHEALTHY, WRONG)
    service.pass_time()
    assert service.serves()


def test_failing_probes_alone_eject_nothing():
    service = ServiceDriver()
    service.work(5)
    for _ in range(50):
        service.detector.observe_probe(service.now, UNHEALTHY, False, 0.025)
        service.work(1)
    assert service.serves()


def test_successful_probe_ends_an_avoidance_with_a_trial():
    service = ServiceDriver()
    service.work(20)
    service.work(6, ConnectFailed('no'))
    assert service.explain().state == 'avoided'
    service.work(20)
    service.detector.observe_probe(service.now, UNHEALTHY, True, 0.025)
    service.work(21)
    assert service.explain().state == 'trial'


def test_failing_probe_puts_a_trial_off():
    absences = []
    for healthy in (True, False):
        service = ServiceDriver()
        service.work(20)
        service.work(6, WRONG)
        began = service.now
        while not service.serves():
            service.detector.observe_probe(
                service.now, UNHEALTHY, healthy, 0.025
            )
            service.work(1)
        absences.append(service.now - began)
    assert absences[0] < absences[1] < 3 * absences[0]


def test_target_returns_in_steps():
    service = ServiceDriver()
    service.work(20)
    service.work(6, WRONG)
    shares = []
    for _ in range(250):
        service.work(1)
        shares.append(service.share())
    steps = list(dict.fromkeys(shares))
    assert steps == [0, 0.2, 0.3, 0.6, 1]


def test_failed_trial_ejects_again_for_longer():
    service = ServiceDriver()
    service.work(20)
    absences = []
    for _ in range(3):
        service.work(5, WRONG)
        began = service.now
        while not service.serves():
            service.work(1)
        absences.append(service.now - began)
    assert absences[1] > 1.5 * absences[0]
    assert absences[2] > 1.5 * absences[1]


def test_draining_target_leaves_at_once_even_below_the_floor():
    service = ServiceDriver(ServicePolicy('search', floor=1))
    leaving = replace(TARGETS[0], state=TargetState.DRAINING)
    service.detector.adopt_targets(service.now, (leaving, *TARGETS[1:]))
    assert not service.serves()
    service.pass_time()
    assert service.codes == [EventCode.TARGET_DRAINED]


def test_floor_keeps_the_least_severe():
    service = ServiceDriver(ServicePolicy('search', floor=1))
    service.work(20)
    service.work(6, WRONG)
    assert service.serves()
    assert service.explain().floor_held
    assert service.codes.count(EventCode.TARGET_FLOOR_HELD) == 1


def test_restarted_target_starts_slowly_without_old_evidence():
    service = ServiceDriver(ServicePolicy('search', slow_start=5))
    service.work(20)
    service.work(6, WRONG)
    fresh = make_target(1, incarnation=2)
    service.detector.adopt_targets(service.now, (fresh, *TARGETS[1:]))
    assert service.share(fresh.id) == TENTH
    service.pass_time(2.5)
    assert service.share(fresh.id) == HALF
    service.pass_time(3)
    assert service.share(fresh.id) == 1


def report(
    service: ServiceDriver,
    node: str,
    domain: str,
    symptom: Symptom,
    target: TargetId = UNHEALTHY,
) -> None:
    evidence = Evidence(target, symptom, 4, 4, 1)
    service.detector.adopt_evidence(service.now, node, domain, (evidence,))
    for _ in range(3):
        service.pass_time()


def test_wrong_answers_at_two_nodes_eject_at_a_third():
    service = ServiceDriver()
    service.work(20)
    report(service, 'one', 'a', Symptom.WRONG)
    assert service.serves()
    report(service, 'two', 'a', Symptom.WRONG)
    assert not service.serves()


def test_unreachable_at_others_does_not_eject_where_reachable():
    service = ServiceDriver()
    service.work(20)
    for node, domain in (('one', 'a'), ('two', 'b'), ('three', 'c')):
        report(service, node, domain, Symptom.UNREACHABLE)
    assert service.serves()


def test_unreachable_must_be_confirmed_by_two_failure_domains():
    service = ServiceDriver()
    far = (*TARGETS[:-1], make_target(6, domain='b'))
    service.detector.adopt_targets(service.now, far)
    report(service, 'one', 'b', Symptom.UNREACHABLE)
    report(service, 'two', 'b', Symptom.UNREACHABLE)
    assert service.serves()
    report(service, 'three', 'c', Symptom.UNREACHABLE)
    assert not service.serves()


def test_evidence_on_another_incarnation_is_ignored():
    service = ServiceDriver()
    earlier = make_target(1, incarnation=0).id
    report(service, 'one', 'a', Symptom.WRONG, earlier)
    report(service, 'two', 'b', Symptom.WRONG, earlier)
    assert service.serves()


def test_only_own_evidence_is_sent():
    service = ServiceDriver()
    service.work(20)
    report(service, 'one', 'a', Symptom.WRONG)
    assert not service.detector.evidence(service.now)
    service.work(2, WRONG)
    sent = service.detector.evidence(service.now)
    assert [piece.target for piece in sent] == [UNHEALTHY]
    assert sent[0].symptom is Symptom.WRONG
    service.pass_time(10)
    assert not service.detector.evidence(service.now)


def test_cost_of_late_detection_moves_the_threshold():
    counts = []
    for cost in (0.1, 1, 20):
        service = ServiceDriver(
            ServicePolicy('search', late_detection_cost=cost),
        )
        service.work(20)
        rounds = 0
        while service.serves():
            service.work(1, WRONG)
            rounds += 1
        counts.append(rounds)
    assert counts == sorted(counts, reverse=True)
    assert counts[0] > counts[-1]


def test_two_hanging_requests_eject_without_further_ones():
    service = ServiceDriver()
    service.work(20)
    for number in (-1, -2):
        service.detector.record_start(service.now, UNHEALTHY, number)
    for _ in range(8):
        for other in TARGETS[1:]:
            service.call(other.id)
        service.pass_time()
    assert not service.serves()
    assert service.explain().symptom is Symptom.STALLED


def test_slowness_is_detected_soon_after_an_idle_time():
    service = ServiceDriver()
    service.work(20)
    for _ in range(40):
        service.pass_time(1)
    service.work(20)
    service.work(10, seconds=0.2)
    assert not service.serves()


def test_targets_without_requests_are_no_peers_in_a_slowdown():
    detector = HealthDetector(PLAIN, HERE)
    near = tuple(make_target(number) for number in range(1, 5))
    far = tuple(make_target(number, 'b') for number in range(5, 16))
    detector.adopt_targets(0, near + far)
    taken_out = 0
    for number in range(1, 301):
        now = number / 10
        seconds = 0.03 if number < 200 else 0.15
        for place, target in enumerate(near):
            attempt = 4 * number + place
            detector.record_start(now, target.id, attempt)
            detector.record_head(now + seconds, target.id, attempt)
            detector.observe(now + seconds, target.id, attempt, FINE)
        codes = [each.code for each in detector.tick(now + TENTH)]
        taken_out += codes.count(EventCode.TARGET_EJECTED)
    assert not taken_out
