"""Tests of the judgement of targets by real requests."""

import pytest
from msgspec.structs import replace

from hillfield.detection.board import HealthBoard
from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.explanations import TargetExplanation
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
SICK = TARGETS[0].id


class Service:
    """Send requests one by one; a target may be told how to answer."""

    def __init__(self, policy: ServicePolicy = PLAIN) -> None:
        self.board = HealthBoard(policy, HERE)
        self.board.adopt_targets(0, TARGETS)
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
        self.board.note_started(self.now, target, self.attempt)
        ended = self.now + seconds
        if isinstance(observation, Answered):
            self.board.note_head(ended, target, self.attempt)
        self.board.observe(ended, target, self.attempt, observation)

    def pass_time(self, seconds: float = 0.1) -> None:
        self.now += seconds
        for occurrence in self.board.tick(self.now):
            self.codes.append(occurrence.code)

    def work(
        self,
        rounds: int,
        observation: Observation = FINE,
        seconds: float = 0.03,
        everywhere: bool = False,
    ) -> None:
        for _ in range(rounds):
            for candidate in self.board.rotation().candidates:
                target = candidate.target.id
                if everywhere or target == SICK:
                    self.call(target, observation, seconds)
                else:
                    self.call(target)
            self.pass_time()

    def serves(self, target: TargetId = SICK) -> bool:
        return self.share(target) > 0

    def share(self, target: TargetId = SICK) -> float:
        return {
            candidate.target.id: candidate.share
            for candidate in self.board.rotation().candidates
        }.get(target, 0)

    def explain(self, target: TargetId = SICK) -> TargetExplanation:
        return next(
            explanation
            for explanation in self.board.explain(self.now)
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
def test_sick_target_leaves_rotation(observation, seconds, symptom, code):
    service = Service()
    service.work(20)
    service.work(8, observation, seconds)
    assert not service.serves()
    assert code in service.codes
    assert service.explain().symptom is symptom
    assert service.serves(TARGETS[1].id)


@pytest.mark.parametrize('observation', [Shed(), CallerGone()])
def test_shed_answers_and_lost_callers_accuse_nobody(observation):
    service = Service()
    service.work(20)
    service.work(30, observation)
    assert service.serves()


def test_shed_answer_lowers_the_share_for_a_moment():
    service = Service()
    service.call(SICK, Shed())
    service.pass_time()
    assert service.share() == HALF
    service.pass_time(1.1)
    assert service.share() == 1


def test_stall_shows_before_it_times_out():
    service = Service()
    service.work(20)
    for attempt in range(1000, 1005):
        service.board.note_started(service.now, SICK, attempt)
    for _ in range(6):
        service.pass_time()
    assert not service.serves()
    assert service.explain().symptom is Symptom.STALLED


@pytest.mark.parametrize(
    ('observation', 'seconds'),
    [(WRONG, 0.03), (FINE, 0.15), (ConnectFailed('no'), 0.01)],
)
def test_what_all_targets_suffer_accuses_none(observation, seconds):
    service = Service()
    service.work(20)
    service.work(20, observation, seconds, everywhere=True)
    assert len(service.board.rotation().candidates) == len(TARGETS)


def test_time_outs_of_a_common_stall_eject_nobody():
    service = Service()
    service.work(20)
    started = [(target.id, call) for target in TARGETS for call in range(8)]
    for attempt, (target, _) in enumerate(started, start=1000):
        service.board.note_started(service.now, target, attempt)
    for _ in range(20):
        service.pass_time()
    for attempt, (target, _) in enumerate(started, start=1000):
        service.board.observe(service.now, target, attempt, TimedOut())
        service.pass_time(0.05)
    assert len(service.board.rotation().candidates) == len(TARGETS)


def test_one_error_in_little_traffic_accuses_nobody():
    service = Service()
    service.work(3)
    service.pass_time(60)
    service.call(SICK, WRONG)
    service.pass_time()
    assert service.serves()


def test_failing_probes_alone_accuse_nobody():
    service = Service()
    service.work(5)
    for _ in range(50):
        service.board.observe_probe(service.now, SICK, False, 0.025)
        service.work(1)
    assert service.serves()


def test_probe_that_gets_through_ends_an_avoidance_with_a_trial():
    service = Service()
    service.work(20)
    service.work(6, ConnectFailed('no'))
    assert service.explain().state == 'avoided'
    service.work(20)
    service.board.observe_probe(service.now, SICK, True, 0.025)
    service.work(21)
    assert service.explain().state == 'trial'


def test_failing_probe_puts_a_trial_off():
    absences = []
    for healthy in (True, False):
        service = Service()
        service.work(20)
        service.work(6, WRONG)
        began = service.now
        while not service.serves():
            service.board.observe_probe(service.now, SICK, healthy, 0.025)
            service.work(1)
        absences.append(service.now - began)
    assert absences[0] < absences[1] < 3 * absences[0]


def test_target_comes_back_step_by_step():
    service = Service()
    service.work(20)
    service.work(6, WRONG)
    shares = []
    for _ in range(250):
        service.work(1)
        shares.append(service.share())
    steps = list(dict.fromkeys(shares))
    assert steps == [0, 0.2, 0.3, 0.6, 1]


def test_failing_trial_goes_straight_back_for_longer():
    service = Service()
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


def test_draining_target_leaves_at_once_though_the_floor_is_missed():
    service = Service(ServicePolicy('search', floor=1))
    leaving = replace(TARGETS[0], state=TargetState.DRAINING)
    service.board.adopt_targets(service.now, (leaving, *TARGETS[1:]))
    assert not service.serves()
    service.pass_time()
    assert service.codes == [EventCode.TARGET_DRAINED]


def test_floor_holds_the_least_sick():
    service = Service(ServicePolicy('search', floor=1))
    service.work(20)
    service.work(6, WRONG)
    assert service.serves()
    assert service.explain().floor_held
    assert service.codes.count(EventCode.TARGET_FLOOR_HELD) == 1


def test_restarted_target_starts_slowly_and_unaccused():
    service = Service(ServicePolicy('search', slow_start=5))
    service.work(20)
    service.work(6, WRONG)
    fresh = make_target(1, incarnation=2)
    service.board.adopt_targets(service.now, (fresh, *TARGETS[1:]))
    assert service.share(fresh.id) == TENTH
    service.pass_time(2.5)
    assert service.share(fresh.id) == HALF
    service.pass_time(3)
    assert service.share(fresh.id) == 1


def tell(
    service: Service,
    node: str,
    domain: str,
    symptom: Symptom,
    target: TargetId = SICK,
) -> None:
    evidence = Evidence(target, symptom, 4, 4, 1)
    service.board.adopt_evidence(service.now, node, domain, (evidence,))
    for _ in range(3):
        service.pass_time()


def test_two_nodes_that_see_wrong_answers_convince_a_third():
    service = Service()
    service.work(20)
    tell(service, 'one', 'a', Symptom.WRONG)
    assert service.serves()
    tell(service, 'two', 'a', Symptom.WRONG)
    assert not service.serves()


def test_nodes_that_cannot_reach_a_target_do_not_convince_one_that_can():
    service = Service()
    service.work(20)
    for node, domain in (('one', 'a'), ('two', 'b'), ('three', 'c')):
        tell(service, node, domain, Symptom.UNREACHABLE)
    assert service.serves()


def test_unreachable_needs_two_failure_domains():
    service = Service()
    far = (*TARGETS[:-1], make_target(6, domain='b'))
    service.board.adopt_targets(service.now, far)
    tell(service, 'one', 'b', Symptom.UNREACHABLE)
    tell(service, 'two', 'b', Symptom.UNREACHABLE)
    assert service.serves()
    tell(service, 'three', 'c', Symptom.UNREACHABLE)
    assert not service.serves()


def test_evidence_on_another_incarnation_is_ignored():
    service = Service()
    earlier = make_target(1, incarnation=0).id
    tell(service, 'one', 'a', Symptom.WRONG, earlier)
    tell(service, 'two', 'b', Symptom.WRONG, earlier)
    assert service.serves()


def test_own_evidence_is_told_and_hearsay_is_not():
    service = Service()
    service.work(20)
    tell(service, 'one', 'a', Symptom.WRONG)
    assert not service.board.evidence(service.now)
    service.work(2, WRONG)
    told = service.board.evidence(service.now)
    assert [piece.target for piece in told] == [SICK]
    assert told[0].symptom is Symptom.WRONG
    service.pass_time(10)
    assert not service.board.evidence(service.now)


def test_cost_of_late_detection_moves_the_threshold():
    counts = []
    for cost in (0.1, 1, 20):
        service = Service(
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


def test_two_requests_that_hang_convict_though_no_more_are_sent():
    service = Service()
    service.work(20)
    for number in (-1, -2):
        service.board.note_started(service.now, SICK, number)
    for _ in range(8):
        for other in TARGETS[1:]:
            service.call(other.id)
        service.pass_time()
    assert not service.serves()
    assert service.explain().symptom is Symptom.STALLED


def test_slowness_is_found_soon_after_idleness():
    service = Service()
    service.work(20)
    for _ in range(40):
        service.pass_time(1)
    service.work(20)
    service.work(10, seconds=0.2)
    assert not service.serves()


def test_targets_without_requests_are_no_peers_in_a_slowdown():
    board = HealthBoard(PLAIN, HERE)
    near = tuple(make_target(number) for number in range(1, 5))
    far = tuple(make_target(number, 'b') for number in range(5, 16))
    board.adopt_targets(0, near + far)
    taken_out = 0
    for number in range(1, 301):
        now = number / 10
        seconds = 0.03 if number < 200 else 0.15
        for place, target in enumerate(near):
            attempt = 4 * number + place
            board.note_started(now, target.id, attempt)
            board.note_head(now + seconds, target.id, attempt)
            board.observe(now + seconds, target.id, attempt, FINE)
        codes = [each.code for each in board.tick(now + TENTH)]
        taken_out += codes.count(EventCode.TARGET_EJECTED)
    assert not taken_out
