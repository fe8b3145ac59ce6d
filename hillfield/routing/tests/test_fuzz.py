"""Fuzz the decisions against an oracle.

The oracle is independent of charts, budgets and health: it records which
attempts were written, which ran, and the outcome of each request, and checks
promises 1 to 6. `HILLFIELD_FUZZ=long` runs many more and longer cases.
"""

import os
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from msgspec.structs import replace
from pytest import mark, raises

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.healthdetector import HealthDetector
from hillfield.detection.rotation import Rotation
from hillfield.model import (
    Address,
    Locality,
    Outcome,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
    TargetState,
)
from hillfield.routing import Dispatcher, retries
from hillfield.routing.records import MAXIMUM_UNSENT
from hillfield.routing.requests import (
    Answered,
    Arrival,
    Broken,
    CallerGone,
    ConnectFailed,
    Done,
    NothingWritten,
    Observation,
    Refuse,
    Send,
    Shed,
    TimedOut,
)

LONG = os.environ.get('HILLFIELD_FUZZ') == 'long'
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=3000 if LONG else 80,
    stateful_step_count=100 if LONG else 40,
    suppress_health_check=list(HealthCheck),
)
HERE = Locality('north', 'a', 'h1')
POLICY = ServicePolicy(
    'claims',
    floor=0.6,
    queue_limit=4,
    hedge_budget=1,
    retry_budget=1,
)
PLACES = 5
SLOTS = 3
places = st.integers(0, PLACES - 1)
failing_places = st.sets(places, max_size=PLACES - 1)
picks = st.integers(0, 10**6)
symptoms = st.sampled_from(Symptom)
UNWRITTEN: tuple[Observation, ...] = (ConnectFailed('c'), NothingWritten('n'))
CUT: tuple[Observation, ...] = (Broken('b'), TimedOut())
RELAYED: tuple[Observation, ...] = (
    Broken('b', forwarded=True),
    TimedOut(forwarded=True),
    Answered(200, 'short', forwarded=True),
)
ANSWERS: tuple[Observation, ...] = (Answered(200), Answered(500, 'status'))
WRITTEN: tuple[Observation, ...] = (*CUT, *RELAYED, *ANSWERS, Shed())
ALL: tuple[Observation, ...] = (*UNWRITTEN, *WRITTEN, CallerGone())


@dataclass
class AttemptTruth:
    """Record what actually happened to one attempt."""

    send: Send
    written: bool = False
    ran: bool = False
    refused: bool = False
    ended: bool = False


class Oracle:
    """Record what happened, to check each decision against it."""

    def __init__(self) -> None:
        self.arrivals: dict[str, Arrival] = {}
        self.attempts: dict[int, AttemptTruth] = {}
        self.runs: Counter[str] = Counter()
        self.outcomes: dict[str, Any] = {}
        self.gone: set[str] = set()

    def of(self, request: str) -> list[AttemptTruth]:
        attempts = self.attempts.values()
        return [one for one in attempts if one.send.request == request]

    def may_run(self, request: str) -> bool:
        """Return whether the request ran or can still run anywhere."""
        return bool(self.runs[request]) or any(
            truth.written and not truth.refused for truth in self.of(request)
        )

    def tried(self, request: str) -> set[TargetId]:
        return {truth.send.target for truth in self.of(request)}

    def live(self) -> list[AttemptTruth]:
        return [truth for truth in self.attempts.values() if not truth.ended]


def has_arrivals(fleet: 'Fleet') -> bool:
    return bool(fleet.oracle.arrivals)


def has_attempts(fleet: 'Fleet') -> bool:
    return bool(fleet.oracle.attempts)


def has_live(fleet: 'Fleet') -> bool:
    return bool(fleet.oracle.live())


class Fleet(RuleBasedStateMachine):
    """Run a dispatcher and a detector through faults."""

    dispatcher_kind: Any = Dispatcher
    detector_kind: Any = HealthDetector

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.oracle = Oracle()
        self.fresh: set[TargetId] = set()
        self.announced: dict[int, Target] = {}
        detector = self.detector_kind(POLICY, HERE)
        self.dispatcher = self.dispatcher_kind(
            POLICY, HERE, detector, Random(5)
        )
        for place in range(PLACES):
            self.announce(place, 1)

    # Changes of targets.

    def announce(self, place: int, incarnation: int) -> None:
        address = Address('127.0.0.1', 7000 + place)
        locality = Locality('north', 'abc'[place % 3], f'h{place}')
        identity = TargetId('claims', address, incarnation)
        self.announced[place] = Target(identity, locality, SLOTS, 300)
        self.fresh.add(identity)
        self.adopt()

    def remaining(self) -> list[Target]:
        return [
            target
            for target in self.announced.values()
            if target.state is not TargetState.DRAINING
        ]

    def adopt(self) -> None:
        targets = tuple(self.announced.values())
        self.dispatcher.adopt_targets(self.now, targets)

    @rule(place=places)
    def restart(self, place: int) -> None:
        known = self.announced.get(place)
        self.announce(place, known.id.incarnation + 1 if known else 50)

    @rule(place=places, gone=st.booleans())
    def withdraw(self, place: int, gone: bool) -> None:
        """Let a target drain, or vanish without draining."""
        known = self.announced.pop(place, None)
        if known and not gone:
            state = TargetState.DRAINING
            self.announced[place] = replace(known, state=state)
        self.adopt()

    @rule(place=places, symptom=symptoms)
    def receive_evidence(self, place: int, symptom: Symptom) -> None:
        known = self.announced.get(place)
        if known:
            self.fresh.discard(known.id)
            evidence = (Evidence(known.id, symptom, 50, 50, 9),)
            for node in ('n1', 'n2', 'n3'):
                self.dispatcher.detector.adopt_evidence(
                    self.now, node, node, evidence
                )

    # Actions of callers.

    @rule(
        idempotent=st.booleans(),
        replayable=st.sampled_from((True, True, False)),
        account=st.sampled_from(('x', 'y', 'z')),
        seconds=st.sampled_from((5, 5, 1, 0.05)),
    )
    def arrive(
        self,
        idempotent: bool,
        replayable: bool,
        account: str,
        seconds: float,
    ) -> None:
        plan = RequestPlan('claims', 'r', account, idempotent, seconds)
        self.admit(plan, replayable)

    def admit(self, plan: RequestPlan, replayable: bool) -> None:
        name = f'r{len(self.oracle.arrivals)}'
        arrival = Arrival(name, plan, self.now + plan.deadline, replayable)
        self.oracle.arrivals[name] = arrival
        self.accept(self.dispatcher.admit(self.now, arrival), name)

    @precondition(has_arrivals)
    @rule(pick=picks)
    def leave(self, pick: int) -> None:
        names = list(self.oracle.arrivals)
        name = names[pick % len(names)]
        if name not in self.oracle.outcomes and not self.oracle.of(name):
            self.oracle.gone.add(name)
            self.dispatcher.cancel(self.now, name)

    @precondition(has_live)
    @rule(pick=picks)
    def hedge(self, pick: int) -> None:
        truth = self.pick_live(pick)
        request = truth.send.request
        send = self.dispatcher.hedge(self.now, request)
        if send is not None:
            arrival = self.oracle.arrivals[request]
            assert arrival.plan.idempotent
            self.accept(send, request)

    @rule(idempotent=st.booleans(), fate=picks, written=st.booleans())
    def pass_through(self, idempotent: bool, fate: int, written: bool) -> None:
        """Let a request arrive and its first attempt end at once."""
        known = len(self.oracle.attempts)
        plan = RequestPlan('claims', 'r', 'z', idempotent, 1)
        self.admit(plan, replayable=True)
        if len(self.oracle.attempts) > known:
            self.end(len(self.oracle.live()) - 1, fate, written)

    # Ends of attempts.

    def pick_live(self, pick: int) -> AttemptTruth:
        live = self.oracle.live()
        return live[pick % len(live)]

    @precondition(has_live)
    @rule(pick=picks)
    def write(self, pick: int) -> None:
        self.mark_written(self.pick_live(pick))

    def mark_written(self, truth: AttemptTruth) -> None:
        truth.written = True
        # From now on a stall can be detected, also before the attempt ends.
        self.fresh.discard(truth.send.target)
        self.dispatcher.record_written(self.now, truth.send.attempt)

    @precondition(has_attempts)
    @rule(pick=picks)
    def run_late(self, pick: int) -> None:
        """Let a target run a request that it was sent, also after a break."""
        attempts = list(self.oracle.attempts.values())
        truth = attempts[pick % len(attempts)]
        if truth.written and not truth.refused:
            self.run_once(truth)

    def run_once(self, truth: AttemptTruth) -> None:
        request = truth.send.request
        self.oracle.runs[request] += int(not truth.ran)
        truth.ran = True

    @precondition(has_live)
    @rule(pick=picks, fate=picks, written=st.booleans())
    def end(self, pick: int, fate: int, written: bool) -> None:
        truth = self.pick_live(pick)
        if written:
            self.mark_written(truth)
        if not truth.written:
            self.finish(truth, UNWRITTEN[fate % len(UNWRITTEN)])
            return
        # A target that has run a request can't shed it any more.
        fates = WRITTEN[:-1] if truth.ran else WRITTEN
        observation = fates[fate % len(fates)]
        truth.refused = isinstance(observation, Shed)
        if isinstance(observation, Answered):
            self.run_once(truth)
        self.finish(truth, observation)

    @precondition(has_attempts)
    @rule(pick=picks, observation=st.sampled_from(ALL))
    def repeat_report(self, pick: int, observation: Observation) -> None:
        """Report a duplicate or late observation of an ended attempt."""
        attempts = list(self.oracle.attempts.values())
        truth = attempts[pick % len(attempts)]
        if truth.ended:
            attempt = truth.send.attempt
            self.dispatcher.record_written(self.now, attempt)
            self.dispatcher.record_head(self.now, attempt)
            decision = self.dispatcher.finish(self.now, attempt, observation)
            assert decision == Done('')

    def finish(self, truth: AttemptTruth, observation: Observation) -> None:
        truth.ended = True
        request = truth.send.request
        attempt = truth.send.attempt
        self.fresh.discard(truth.send.target)
        decision = self.dispatcher.finish(self.now, attempt, observation)
        assert decision.request == request
        if request in self.oracle.outcomes:
            assert isinstance(decision, Done)
            return
        if isinstance(decision, Done):
            assert observation == Answered(200) or observation in RELAYED
        self.accept(decision, request)
        if isinstance(decision, Done):
            for other in self.oracle.of(request):
                if not other.ended:
                    self.finish(other, CallerGone())

    @rule(failing=failing_places, idempotent=st.booleans())
    def burst(self, failing: set[int], idempotent: bool) -> None:
        """Send many requests while some targets fail all of theirs."""
        plan = RequestPlan('claims', 'r', 'x', idempotent, 1)
        for _ in range(30):
            self.now += 0.025
            before = set(self.oracle.attempts)
            self.admit(plan, replayable=True)
            for attempt in set(self.oracle.attempts) - before:
                self.settle(self.oracle.attempts[attempt], failing)
            self.tick()

    def settle(self, truth: AttemptTruth, failing: set[int]) -> None:
        if truth.ended:
            return
        self.mark_written(truth)
        if truth.send.address.port - 7000 in failing:
            self.finish(truth, Broken('failing'))
        else:
            self.run_once(truth)
            self.finish(truth, Answered(200))

    # Time.

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.1, 1, 30)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.tick()

    def tick(self) -> None:
        self.dispatcher.tick(self.now)
        for decision in self.dispatcher.poll(self.now):
            self.accept(decision, decision.request)

    # Invariants.

    def accept(self, decision: Any, request: str) -> None:
        assert decision.request == request
        assert request in self.oracle.arrivals
        assert request not in self.oracle.outcomes
        assert request not in self.oracle.gone
        if isinstance(decision, Send):
            self.accept_send(decision)
        elif isinstance(decision, Refuse):
            self.accept_refusal(decision)
            self.oracle.outcomes[request] = decision
        elif isinstance(decision, Done):
            self.oracle.outcomes[request] = decision

    def accept_send(self, send: Send) -> None:
        arrival = self.oracle.arrivals[send.request]
        earlier = self.oracle.of(send.request)
        assert self.now < arrival.expires
        assert send.attempt not in self.oracle.attempts
        assert send.address == send.target.address
        known = self.announced.get(send.address.port - 7000)
        assert known is not None and known.id == send.target
        assert known.state is not TargetState.DRAINING
        rotation = self.dispatcher.detector.rotation()
        rotating = {one.target.id for one in rotation.candidates}
        assert send.target in rotating
        tried = self.oracle.tried(send.request)
        assert send.target not in tried or not rotating - tried
        if not arrival.plan.idempotent:
            assert not self.oracle.may_run(send.request)
            assert all(truth.ended for truth in earlier)
        if not arrival.replayable:
            assert not any(truth.written for truth in earlier)
        seen = sum(truth.written or not truth.ended for truth in earlier)
        assert seen < arrival.plan.maximum_attempts
        assert len(earlier) <= arrival.plan.maximum_attempts + MAXIMUM_UNSENT
        self.oracle.attempts[send.attempt] = AttemptTruth(send)
        busy = Counter(truth.send.target for truth in self.oracle.live())
        assert busy[send.target] <= SLOTS

    def accept_refusal(self, refuse: Refuse) -> None:
        failure = refuse.failure
        plan = self.oracle.arrivals[refuse.request].plan
        if failure.outcome is Outcome.NOT_RUN:
            assert not self.oracle.may_run(refuse.request)
            assert failure.retry_after
        else:
            assert failure.outcome is Outcome.UNKNOWN
            assert failure.status in {502, 504}
            assert bool(failure.retry_after) is plan.idempotent

    @invariant()
    def runs_at_most_once(self) -> None:
        for name, arrival in self.oracle.arrivals.items():
            assert arrival.plan.idempotent or self.oracle.runs[name] <= 1

    @invariant()
    def stays_above_the_floor(self) -> None:
        live = self.remaining()
        rotation = self.dispatcher.detector.rotation()
        kept = sum(one.target.slots for one in rotation.candidates)
        assert kept >= POLICY.floor * sum(target.slots for target in live)

    @invariant()
    def new_incarnations_are_in_rotation(self) -> None:
        rotation = self.dispatcher.detector.rotation()
        rotating = {one.target.id for one in rotation.candidates}
        remaining = {target.id for target in self.remaining()}
        assert remaining & self.fresh <= rotating

    def teardown(self) -> None:
        """Check that each request got one final decision and none is left."""
        for _ in range(10):
            self.now += 60
            self.tick()
            for truth in self.oracle.live():
                if not truth.ended:
                    self.mark_written(truth)
                    self.finish(truth, TimedOut())
        waiting = set(self.oracle.arrivals) - set(self.oracle.outcomes)
        assert waiting <= self.oracle.gone
        explanation = self.dispatcher.explain(self.now)
        assert explanation.queued == 0
        assert not any(load.in_flight for load in explanation.loads)


class FloorlessDetector(HealthDetector):
    """Inject the fault that the floor is ignored."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        super().__init__(replace(policy, floor=0), locality)


class StaleDetector(HealthDetector):
    """Inject the fault that an ejection extends to the next incarnation."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        super().__init__(policy, locality)
        self.known: set[Address] = set()
        self.out: set[Address] = set()

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        sound = HealthDetector.rotation(self)
        rotating = {one.target.id for one in sound.candidates}
        for target in targets:
            address = target.id.address
            if address in self.known and target.id not in rotating:
                if target.state is not TargetState.DRAINING:
                    self.out.add(address)
            self.known.add(address)
        super().adopt_targets(now, targets)

    def rotation(self) -> Rotation:
        rotation = super().rotation()
        candidates = tuple(
            one
            for one in rotation.candidates
            if one.target.id.address not in self.out
        )
        return replace(rotation, candidates=candidates)


class MispairingDispatcher(Dispatcher):
    """Inject the fault that an answer goes to the previous caller."""

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.previous = ''

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Any:
        decision = super().finish(now, attempt, observation)
        if isinstance(decision, Done) and decision.request:
            swapped = self.previous or decision.request
            self.previous = decision.request
            return Done(swapped)
        return decision


class DrainlessDispatcher(Dispatcher):
    """Inject the fault that draining targets are treated as ready."""

    def adopt_targets(
        self,
        now: float,
        targets: tuple[Target, ...],
        nodes: int = 1,
    ) -> None:
        ready = tuple(
            replace(target, state=TargetState.READY) for target in targets
        )
        super().adopt_targets(now, ready, nodes)


def run_faulty(**parts: Any) -> None:
    machine = type('FaultyFleet', (Fleet,), parts)
    quick = settings(SETTINGS, phases=[Phase.generate], max_examples=300)
    run_state_machine_as_test(machine, settings=quick)


def test_fuzz_promises_hold():
    run_state_machine_as_test(Fleet, settings=SETTINGS)


@mark.seeded
@mark.parametrize(
    'parts',
    [
        {'detector_kind': FloorlessDetector},
        {'detector_kind': StaleDetector},
        {'dispatcher_kind': MispairingDispatcher},
        {'dispatcher_kind': DrainlessDispatcher},
    ],
    ids=['floor', 'stale-ejection', 'pairing', 'drain'],
)
def test_fuzz_finds_seeded_fault(parts):
    with raises(AssertionError):
        run_faulty(**parts)


@mark.seeded
def test_fuzz_finds_retry_after_unknown(monkeypatch):
    monkeypatch.setattr(retries, '_may_repeat', lambda record: True)
    with raises(AssertionError):
        run_faulty()
