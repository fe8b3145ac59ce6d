"""Fuzz the decisions against an oracle of what ran and who got what.

The oracle knows nothing of charts, budgets or health: it records which
attempts were written, which ran, and what each caller was told, and checks
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

from hillfield.detection.board import HealthBoard
from hillfield.detection.evidence import Evidence, Symptom
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
from hillfield.routing import Dispatcher, repeats
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
sick_places = st.sets(places, max_size=PLACES - 1)
picks = st.integers(0, 10**6)
symptoms = st.sampled_from(Symptom)
UNWRITTEN: tuple[Observation, ...] = (ConnectFailed('c'), NothingWritten('n'))
CUT: tuple[Observation, ...] = (Broken('b'), TimedOut())
RELAYED: tuple[Observation, ...] = (
    Broken('b', relayed=True),
    TimedOut(relayed=True),
    Answered(200, 'short', relayed=True),
)
ANSWERS: tuple[Observation, ...] = (Answered(200), Answered(500, 'status'))
WRITTEN: tuple[Observation, ...] = (*CUT, *RELAYED, *ANSWERS, Shed())
ALL: tuple[Observation, ...] = (*UNWRITTEN, *WRITTEN, CallerGone())


@dataclass
class Trial:
    """Record what really became of one attempt."""

    send: Send
    written: bool = False
    ran: bool = False
    refused: bool = False
    ended: bool = False


class Oracle:
    """Record the truth and check each verdict against it."""

    def __init__(self) -> None:
        self.arrivals: dict[str, Arrival] = {}
        self.trials: dict[int, Trial] = {}
        self.runs: Counter[str] = Counter()
        self.told: dict[str, Any] = {}
        self.gone: set[str] = set()

    def of(self, request: str) -> list[Trial]:
        trials = self.trials.values()
        return [one for one in trials if one.send.request == request]

    def may_run(self, request: str) -> bool:
        """Tell whether the request ran or can still run anywhere."""
        return bool(self.runs[request]) or any(
            trial.written and not trial.refused for trial in self.of(request)
        )

    def tried(self, request: str) -> set[TargetId]:
        return {trial.send.target for trial in self.of(request)}

    def live(self) -> list[Trial]:
        return [trial for trial in self.trials.values() if not trial.ended]


def has_arrivals(fleet: 'Fleet') -> bool:
    return bool(fleet.oracle.arrivals)


def has_trials(fleet: 'Fleet') -> bool:
    return bool(fleet.oracle.trials)


def has_live(fleet: 'Fleet') -> bool:
    return bool(fleet.oracle.live())


class Fleet(RuleBasedStateMachine):
    """Drive a dispatcher with a real board through faults."""

    dispatcher_kind: Any = Dispatcher
    board_kind: Any = HealthBoard

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.oracle = Oracle()
        self.fresh: set[TargetId] = set()
        self.announced: dict[int, Target] = {}
        board = self.board_kind(POLICY, HERE)
        self.dispatcher = self.dispatcher_kind(POLICY, HERE, board, Random(5))
        for place in range(PLACES):
            self.announce(place, 1)

    # What happens to targets.

    def announce(self, place: int, life: int) -> None:
        address = Address('127.0.0.1', 7000 + place)
        locality = Locality('north', 'abc'[place % 3], f'h{place}')
        identity = TargetId('claims', address, life)
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
        """Let a target drain, or vanish without a word."""
        known = self.announced.pop(place, None)
        if known and not gone:
            state = TargetState.DRAINING
            self.announced[place] = replace(known, state=state)
        self.adopt()

    @rule(place=places, symptom=symptoms)
    def hear(self, place: int, symptom: Symptom) -> None:
        known = self.announced.get(place)
        if known:
            self.fresh.discard(known.id)
            told = (Evidence(known.id, symptom, 50, 50, 9),)
            for node in ('n1', 'n2', 'n3'):
                self.dispatcher.board.adopt_evidence(self.now, node, node, told)

    # What callers do.

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
        if name not in self.oracle.told and not self.oracle.of(name):
            self.oracle.gone.add(name)
            self.dispatcher.leave(self.now, name)

    @precondition(has_live)
    @rule(pick=picks)
    def hedge(self, pick: int) -> None:
        trial = self.pick_live(pick)
        request = trial.send.request
        send = self.dispatcher.hedge(self.now, request)
        if send is not None:
            arrival = self.oracle.arrivals[request]
            assert arrival.plan.idempotent
            self.accept(send, request)

    @rule(idempotent=st.booleans(), fate=picks, written=st.booleans())
    def pass_through(self, idempotent: bool, fate: int, written: bool) -> None:
        """Let a request arrive and its first attempt end at once."""
        known = len(self.oracle.trials)
        plan = RequestPlan('claims', 'r', 'z', idempotent, 1)
        self.admit(plan, replayable=True)
        if len(self.oracle.trials) > known:
            self.end(len(self.oracle.live()) - 1, fate, written)

    # What becomes of attempts.

    def pick_live(self, pick: int) -> Trial:
        live = self.oracle.live()
        return live[pick % len(live)]

    @precondition(has_live)
    @rule(pick=picks)
    def write(self, pick: int) -> None:
        self.note_written(self.pick_live(pick))

    def note_written(self, trial: Trial) -> None:
        trial.written = True
        # From here on a stall can be seen, also before the attempt ends.
        self.fresh.discard(trial.send.target)
        self.dispatcher.note_written(self.now, trial.send.attempt)

    @precondition(has_trials)
    @rule(pick=picks)
    def run_late(self, pick: int) -> None:
        """Let a target run what it was sent, also after a break."""
        trials = list(self.oracle.trials.values())
        trial = trials[pick % len(trials)]
        if trial.written and not trial.refused:
            self.run_once(trial)

    def run_once(self, trial: Trial) -> None:
        request = trial.send.request
        self.oracle.runs[request] += int(not trial.ran)
        trial.ran = True

    @precondition(has_live)
    @rule(pick=picks, fate=picks, written=st.booleans())
    def end(self, pick: int, fate: int, written: bool) -> None:
        trial = self.pick_live(pick)
        if written:
            self.note_written(trial)
        if not trial.written:
            self.finish(trial, UNWRITTEN[fate % len(UNWRITTEN)])
            return
        # A target that has run a request can't refuse it any more.
        fates = WRITTEN[:-1] if trial.ran else WRITTEN
        observation = fates[fate % len(fates)]
        trial.refused = isinstance(observation, Shed)
        if isinstance(observation, Answered):
            self.run_once(trial)
        self.finish(trial, observation)

    @precondition(has_trials)
    @rule(pick=picks, observation=st.sampled_from(ALL))
    def repeat_report(self, pick: int, observation: Observation) -> None:
        """Report once more, or too late, on an attempt that has ended."""
        trials = list(self.oracle.trials.values())
        trial = trials[pick % len(trials)]
        if trial.ended:
            attempt = trial.send.attempt
            self.dispatcher.note_written(self.now, attempt)
            self.dispatcher.note_head(self.now, attempt)
            decision = self.dispatcher.finish(self.now, attempt, observation)
            assert decision == Done('')

    def finish(self, trial: Trial, observation: Observation) -> None:
        trial.ended = True
        request = trial.send.request
        attempt = trial.send.attempt
        self.fresh.discard(trial.send.target)
        decision = self.dispatcher.finish(self.now, attempt, observation)
        assert decision.request == request
        if request in self.oracle.told:
            assert isinstance(decision, Done)
            return
        if isinstance(decision, Done):
            assert observation == Answered(200) or observation in RELAYED
        self.accept(decision, request)
        if isinstance(decision, Done):
            for other in self.oracle.of(request):
                if not other.ended:
                    self.finish(other, CallerGone())

    @rule(sick=sick_places, idempotent=st.booleans())
    def burst(self, sick: set[int], idempotent: bool) -> None:
        """Let requests pass quickly, some targets failing them all."""
        plan = RequestPlan('claims', 'r', 'x', idempotent, 1)
        for _ in range(30):
            self.now += 0.025
            before = set(self.oracle.trials)
            self.admit(plan, replayable=True)
            for attempt in set(self.oracle.trials) - before:
                self.settle(self.oracle.trials[attempt], sick)
            self.tick()

    def settle(self, trial: Trial, sick: set[int]) -> None:
        if trial.ended:
            return
        self.note_written(trial)
        if trial.send.address.port - 7000 in sick:
            self.finish(trial, Broken('sick'))
        else:
            self.run_once(trial)
            self.finish(trial, Answered(200))

    # Time.

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.1, 1, 30)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.tick()

    def tick(self) -> None:
        self.dispatcher.tick(self.now)
        for decision in self.dispatcher.poll(self.now):
            self.accept(decision, decision.request)

    # What must hold.

    def accept(self, decision: Any, request: str) -> None:
        assert decision.request == request
        assert request in self.oracle.arrivals
        assert request not in self.oracle.told
        assert request not in self.oracle.gone
        if isinstance(decision, Send):
            self.accept_send(decision)
        elif isinstance(decision, Refuse):
            self.accept_refusal(decision)
            self.oracle.told[request] = decision
        elif isinstance(decision, Done):
            self.oracle.told[request] = decision

    def accept_send(self, send: Send) -> None:
        arrival = self.oracle.arrivals[send.request]
        earlier = self.oracle.of(send.request)
        assert self.now < arrival.expires
        assert send.attempt not in self.oracle.trials
        assert send.address == send.target.address
        known = self.announced.get(send.address.port - 7000)
        assert known is not None and known.id == send.target
        assert known.state is not TargetState.DRAINING
        rotation = self.dispatcher.board.rotation()
        rotating = {one.target.id for one in rotation.candidates}
        assert send.target in rotating
        tried = self.oracle.tried(send.request)
        assert send.target not in tried or not rotating - tried
        if not arrival.plan.idempotent:
            assert not self.oracle.may_run(send.request)
            assert all(trial.ended for trial in earlier)
        if not arrival.replayable:
            assert not any(trial.written for trial in earlier)
        seen = sum(trial.written or not trial.ended for trial in earlier)
        assert seen < arrival.plan.maximum_attempts
        assert len(earlier) <= arrival.plan.maximum_attempts + MAXIMUM_UNSENT
        self.oracle.trials[send.attempt] = Trial(send)
        busy = Counter(trial.send.target for trial in self.oracle.live())
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
        rotation = self.dispatcher.board.rotation()
        kept = sum(one.target.slots for one in rotation.candidates)
        assert kept >= POLICY.floor * sum(target.slots for target in live)

    @invariant()
    def gives_new_lives_a_chance(self) -> None:
        rotation = self.dispatcher.board.rotation()
        rotating = {one.target.id for one in rotation.candidates}
        remaining = {target.id for target in self.remaining()}
        assert remaining & self.fresh <= rotating

    def teardown(self) -> None:
        """Every caller gets exactly one verdict and nothing is left."""
        for _ in range(10):
            self.now += 60
            self.tick()
            for trial in self.oracle.live():
                if not trial.ended:
                    self.note_written(trial)
                    self.finish(trial, TimedOut())
        waiting = set(self.oracle.arrivals) - set(self.oracle.told)
        assert waiting <= self.oracle.gone
        explanation = self.dispatcher.explain(self.now)
        assert explanation.queued == 0
        assert not any(load.in_flight for load in explanation.loads)


class FloorlessBoard(HealthBoard):
    """Seed the fault: the floor is ignored."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        super().__init__(replace(policy, floor=0), locality)


class StaleBoard(HealthBoard):
    """Seed the fault: a new life inherits its address's ejection."""

    def __init__(self, policy: ServicePolicy, locality: Locality) -> None:
        super().__init__(policy, locality)
        self.known: set[Address] = set()
        self.out: set[Address] = set()

    def adopt_targets(self, now: float, targets: tuple[Target, ...]) -> None:
        sound = HealthBoard.rotation(self)
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
    """Seed the fault: an answer is given to the caller before."""

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
    """Seed the fault: draining targets are treated as ready."""

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
        {'board_kind': FloorlessBoard},
        {'board_kind': StaleBoard},
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
    monkeypatch.setattr(repeats, '_may_repeat', lambda record: True)
    with raises(AssertionError):
        run_faulty()
