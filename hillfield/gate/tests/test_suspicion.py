"""Targets that hang while their health checks pass."""

from random import Random
from statistics import mean
from typing import Any

from msgspec.structs import replace
from pytest import fixture

from hillfield.events import ListJournal
from hillfield.gate import Gate, ServedIncarnation
from hillfield.loadreports import WithheldWork
from hillfield.model import (
    Address,
    Locality,
    RequestPlan,
    Target,
    TargetId,
    TargetState,
    Urgency,
)
from hillfield.routing.requests import (
    Answered,
    Arrival,
    CallerGone,
    Refuse,
    Send,
    TimedOut,
)

IDENTITY = TargetId('claims', Address('127.0.0.1', 8000), 7)
TARGET = Target(IDENTITY, Locality('north', 'a', 'h1'), 5, 360)
CALL = RequestPlan('claims', 'call', '', True, 1.5, aim=0.4)
ONCE = RequestPlan('claims', 'post', '', False, 5, aim=1.5)
TRIAL = replace(CALL, trial=True)
# Fraction of requests that such a target never answers.
HANGING = 0.75
# Upper bound of the requests lost while a target hangs for 7 s, with a margin
# for other seeds.
MAXIMUM_LOST = 1.7


@fixture
def gate():
    return open_gate()


def open_gate(target=TARGET):
    opened = Gate(ListJournal())
    opened.serve(ServedIncarnation(target, 'i-1'))
    return opened


def admit(gate, name, now, plan=ONCE):
    arrival = Arrival(name, plan, now + plan.deadline, True)
    decision = gate.admit(now, arrival)
    if isinstance(decision, Send):
        gate.record_written(now, decision.attempt)
    return decision


def answer(gate, name, now, seconds, plan=CALL):
    sent = admit(gate, name, now, plan)
    return gate.finish(now + seconds, sent.attempt, Answered(200))


def learn(gate, plan, seconds, start=0):
    for step in range(start, start + 30):
        name = f'{plan.route}{step}'
        answer(gate, name, step, seconds, plan)


def test_short_calls_that_hang_cause_quarantine_within_a_long_request(gate):
    learn(gate, CALL, 0.1)
    learn(gate, ONCE, 0.5, 40)
    for name in 'ab':
        admit(gate, name, 100, CALL)
    gate.poll(100.15)
    assert gate.report(100.15).held is not WithheldWork.ALL
    gate.poll(100.35)
    assert isinstance(admit(gate, 'c', 100.35), Refuse)
    assert gate.report(100.36).held >= WithheldWork.USUAL


def test_long_requests_of_such_ages_are_no_evidence(gate):
    learn(gate, CALL, 0.1)
    learn(gate, ONCE, 0.5, 40)
    for name in 'ab':
        admit(gate, name, 100, ONCE)
    gate.poll(100.35)
    assert isinstance(admit(gate, 'c', 100.35), Send)


def test_one_request_alone_causes_no_quarantine(gate):
    learn(gate, CALL, 0.1)
    admit(gate, 'a', 100, CALL)
    gate.poll(101.4)
    assert gate.report(101.4).held is WithheldWork.ONCE


def test_work_that_must_not_run_twice_avoids_a_suspected_target(gate):
    learn(gate, CALL, 0.1)
    admit(gate, 'a', 100, CALL)
    healthy_only = admit(gate, 'b', 100.5)
    assert isinstance(healthy_only, Refuse)
    assert healthy_only.failure.detail == 'the target is suspected'
    allows_suspected = replace(ONCE, urgency=Urgency.ALLOW_SUSPECTED)
    assert isinstance(admit(gate, 'c', 100.5, allows_suspected), Send)
    assert isinstance(admit(gate, 'd', 100.5, CALL), Send)


def test_a_caller_that_leaves_early_is_no_evidence(gate):
    learn(gate, CALL, 0.1)
    for number in range(20):
        sent = admit(gate, f'g{number}', 100 + number, CALL)
        gate.finish(100.05 + number, sent.attempt, CallerGone())
    assert gate.report(121).held is WithheldWork.NOTHING


def test_a_hedge_that_wins_leaves_evidence_of_the_first_attempt(gate):
    """Hedged calls were cancelled before they were old enough to count."""
    learn(gate, CALL, 0.1)
    for number in range(3):
        sent = admit(gate, f'g{number}', 100 + number, CALL)
        gate.finish(100.3 + number, sent.attempt, CallerGone())
    assert gate.report(103).held >= WithheldWork.USUAL


def test_a_very_late_good_answer_is_no_evidence_of_health(gate):
    learn(gate, CALL, 0.1)
    for name in 'ab':
        sent = admit(gate, name, 100, CALL)
        gate.finish(101.5, sent.attempt, TimedOut())
    withheld = gate.report(102).held
    assert withheld >= WithheldWork.USUAL
    for number in range(8):
        now = 102 + 3.0 * number
        sent = admit(gate, f't{number}', now, TRIAL)
        assert isinstance(sent, Send)
        gate.finish(now + 1.4, sent.attempt, Answered(200))
    assert gate.report(130).held >= WithheldWork.USUAL


def test_a_cold_target_may_take_twice_the_time():
    """After a loss of power all targets have just started."""
    cold = replace(TARGET, state=TargetState.COLD)
    cold_gate, warm = open_gate(cold), open_gate()
    for gate in (cold_gate, warm):
        for name in 'abc':
            admit(gate, name, 0, CALL)
        gate.poll(0.45)
    assert cold_gate.report(0.45).held <= WithheldWork.ONCE
    assert warm.report(0.45).held >= WithheldWork.USUAL


def test_a_gate_reports_that_a_trial_is_due(gate):
    learn(gate, CALL, 0.1)
    for name in 'ab':
        admit(gate, name, 100, CALL)
    gate.poll(100.5)
    assert gate.report(100.9).held is WithheldWork.USUAL
    admit(gate, 'trial', 100.9, TRIAL)
    assert gate.report(100.95).held is WithheldWork.ALL


class HangingTarget:
    """Simulate a target that begins to hang.

    Per second, four requests that must not run twice (0.43 s each) and one
    call (0.11 s); from 5 s on three in four are never answered. There is no
    other target.
    """

    rates = ((ONCE, 4, 0.34), (CALL, 1, 0.09))

    def __init__(self, seed):
        self.random = Random(seed)
        self.gate = open_gate()
        self.running = []
        self.lost = 0

    def play(self, steps=1200):
        for step in range(steps):
            now = step / 100
            self.end_due(now)
            self.gate.poll(now)
            for plan, rate, median in self.rates:
                if self.random.random() < rate / 100:
                    self.send(now, plan, median)
        return self.lost

    def end_due(self, now):
        due = [entry for entry in self.running if entry[0] <= now]
        for entry in due:
            self.running.remove(entry)
            self.gate.finish(now, *entry[1:])

    def send(self, now, plan, median):
        decision = admit(self.gate, f'{plan.route}{now}', now, plan)
        if not isinstance(decision, Send):
            return
        seconds = self.random.lognormvariate(0, 0.6) * median
        observation: Any = Answered(200)
        if now >= 5 and self.random.random() < HANGING:
            self.lost += not plan.idempotent
            seconds = plan.deadline
            observation = TimedOut()
        self.running.append((now + seconds, decision.attempt, observation))


def compute_lost():
    return mean(HangingTarget(seed).play() for seed in range(20))


def test_few_requests_are_lost_when_a_target_begins_to_hang():
    """A fixed limit of four times the mean lost 3.25 in 7 s, this 1.35."""
    assert compute_lost() <= MAXIMUM_LOST


def test_a_pause_of_the_gate_is_no_evidence_against_its_target(gate):
    # The ages of these requests are due to the gate's own pause.
    learn(gate, CALL, 0.05)
    sent = [admit(gate, f'c{number}', 50, CALL) for number in range(5)]
    gate.discount_pause(51.2, 1.15)
    gate.poll(51.2)
    assert gate.report(51.2).held is WithheldWork.NOTHING
    gate.poll(52.4)
    assert gate.report(52.4).held is not WithheldWork.NOTHING
    assert len(sent) == 5
