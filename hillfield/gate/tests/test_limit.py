"""How the gate enforces the rate limit that its target names."""

from random import Random

from pytest import fixture, mark

from hillfield.events import EventCode, ListJournal
from hillfield.gate import Gate, ServedIncarnation
from hillfield.gate.limit import BURST_SECONDS, MINIMUM_RATE, RateLimit
from hillfield.gate.waiting import MAXIMUM_WAIT
from hillfield.loadreports import read_capacity, write_capacity
from hillfield.model import (
    Address,
    IncarnationNotice,
    Locality,
    Outcome,
    RequestPlan,
    Target,
    TargetId,
    TargetNotice,
)
from hillfield.routing.requests import Answered, Arrival, Refuse, Send

WINDOW = 4.0
IDENTITY = TargetId('refunds', Address('127.0.0.1', 8000), 7)
TARGET = Target(IDENTITY, Locality('north', 'a', 'h1'), 4, 300)
WORK = 0.2
STEP = 0.01


def arrive(name, now, left=2.0):
    plan = RequestPlan('refunds', '', '', True, left, maximum_attempts=1)
    return Arrival(name, plan, now + left, True)


class Fleet:
    """Send requests to a gate at random moments, and answer for its target.

    `notice` returns what the target says at a moment.
    """

    def __init__(self, seed, notice, rate=20.0, work=WORK):
        self.journal = ListJournal()
        self.gate = Gate(self.journal)
        self.gate.serve(ServedIncarnation(TARGET, 'i-1'))
        self.notice = notice
        self.rate = rate
        self.work = work
        self.now = float()
        self.sent = []
        self.declined = []
        self._random = Random(seed)
        self._ends = []

    def play(self, seconds):
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP
            self._end_some()
            self._ask_some()
            for decision in self.gate.poll(self.now):
                self._take(decision)
        return self

    def _ask_some(self):
        if self._random.random() < self.rate * STEP:
            name = f'r{self.now}'
            arrival = arrive(name, self.now)
            self._take(self.gate.admit(self.now, arrival))

    def _take(self, decision):
        match decision:
            case Send():
                self.sent.append(self.now)
                self.gate.record_written(self.now, decision.attempt)
                work = self.work * self._random.uniform(0.5, 2)
                self._ends.append((self.now + work, decision.attempt))
            case Refuse():
                self.declined.append(decision.failure)

    def _end_some(self):
        for end in sorted(self._ends):
            if end[0] <= self.now:
                self._ends.remove(end)
                said = self.notice(self.now)
                self.gate.record_notice(self.now, end[1], said)
                self.gate.finish(self.now, end[1], Answered(200))


def count_most(moments, window=WINDOW):
    return max(
        sum(start <= moment < start + window for moment in moments)
        for start in moments
    )


def name_from(start, rate):
    """Return a target's notices that name a limit from a moment on."""
    return lambda now: TargetNotice(rate if now >= start else None)


@fixture
def limit():
    return RateLimit()


@mark.parametrize('seed', range(20))
@mark.parametrize('rate', (0, 0.4, 2.4, 7.5))
def test_no_window_exceeds_the_limit_and_the_burst(seed, rate):
    fleet = Fleet(seed, name_from(3, rate)).play(15)
    after = [moment for moment in fleet.sent if moment > 3 + 3 * WORK]
    effective_rate = max(MINIMUM_RATE, rate)
    burst = max(1, BURST_SECONDS * effective_rate)
    assert count_most(after) <= effective_rate * WINDOW + burst


@mark.parametrize('seed', range(10))
def test_a_limited_target_is_used_in_full(seed):
    fleet = Fleet(seed, name_from(0, 5.0)).play(40)
    assert len(fleet.sent) >= 0.9 * 5.0 * 40


def test_requests_over_the_limit_are_refused_as_not_run_with_a_retry_time():
    fleet = Fleet(1, name_from(0, 2.0)).play(10)
    limited = [
        failure
        for failure in fleet.declined
        if failure.event == EventCode.TARGET_LIMITED
    ]
    assert limited
    assert all(entry.outcome is Outcome.NOT_RUN for entry in limited)
    assert all(entry.retry_after > MAXIMUM_WAIT for entry in limited)
    assert '2.0 requests a second' in limited[0].detail


def test_a_limit_that_has_ended_has_no_effect():
    def give_notice(now):
        return TargetNotice(1.0 if 2 <= now < 6 else None)

    fleet = Fleet(3, give_notice).play(14)
    codes = [entry.code for entry in fleet.journal.occurrences]
    assert EventCode.TARGET_LIMIT_NAMED in codes
    assert EventCode.TARGET_LIMIT_ENDED in codes
    unlimited_count = sum(moment > 9 for moment in fleet.sent)
    slot_rate = TARGET.slots / (1.25 * WORK)
    assert unlimited_count > 0.9 * 5 * min(fleet.rate, slot_rate)


def test_a_target_with_a_limit_of_zero_still_gets_a_few_requests():
    def give_notice(now):
        return TargetNotice(0 if now < 20 else None)

    fleet = Fleet(5, give_notice).play(30)
    during = [moment for moment in fleet.sent if 4 < moment < 20]
    assert during
    assert count_most(during) <= 2
    assert len([moment for moment in fleet.sent if moment > 26]) > 30


def test_an_overlapping_answer_does_not_raise_the_limit(limit):
    limit.apply_notice(1, 0.5, 2)
    assert not limit.apply_notice(1.1, 0.6, None)
    assert not limit.apply_notice(1.2, 0.6, 9)
    assert limit.rate == 2
    assert limit.apply_notice(1.3, 0.6, 1.5)
    assert limit.apply_notice(2.0, 1.4, None)
    assert limit.rate is None


def test_an_unreadable_notice_changes_nothing():
    def give_notice(now):
        return (
            TargetNotice(2.0)
            if now < 3
            else TargetNotice(unreadable='nan', limit_unreadable=True)
        )

    fleet = Fleet(7, give_notice).play(12)
    after_notice = [moment for moment in fleet.sent if moment > 4]
    assert count_most(after_notice) <= 2 * WINDOW + 1
    codes = [entry.code for entry in fleet.journal.occurrences]
    assert EventCode.TARGET_NOTICE_UNREAD in codes


def test_the_limit_of_an_earlier_incarnation_does_not_apply():
    fleet = Fleet(9, name_from(0, 1.0)).play(5)
    other = TargetId('refunds', IDENTITY.address, 8)
    serving = ServedIncarnation(Target(other, TARGET.locality, 4, 300), 'i-2')
    fleet.gate.serve(serving)
    decisions = [fleet.gate.admit(5, arrive(name, 5)) for name in 'abcd']
    assert all(isinstance(decision, Send) for decision in decisions)


def test_requests_that_waited_before_the_limit_obey_it():
    gate = Gate(ListJournal())
    gate.serve(ServedIncarnation(TARGET, 'i-1'))
    arrivals = [arrive(name, 0) for name in 'abcdefgh']
    decisions = [gate.admit(0, arrival) for arrival in arrivals]
    sent = [decision for decision in decisions if isinstance(decision, Send)]
    assert len(sent) == TARGET.slots
    for decision in sent:
        gate.record_notice(0.1, decision.attempt, TargetNotice(2))
        gate.finish(0.1, decision.attempt, Answered(200))
    polled = gate.poll(0.1)
    assert not any(isinstance(later, Send) for later in polled)


def test_a_limited_target_reports_no_more_capacity_than_the_limit():
    fleet = Fleet(1, name_from(0, 2.0)).play(5)
    fleet.gate.poll(fleet.now)
    report = fleet.gate.report(fleet.now)
    assert report.free <= 1
    fleet.rate = 0
    fleet.play(3)
    assert fleet.gate.report(fleet.now).free == 1


def open_gate(born=None):
    gate = Gate(ListJournal())
    gate.serve(ServedIncarnation(TARGET, 'i-1', born))
    return gate


def test_a_new_gate_applies_a_forwarded_limit():
    gate = open_gate()
    gate.receive_forwarded_notice(0, IncarnationNotice('i-1', 0.5))
    decisions = [gate.admit(0, arrive(name, 0)) for name in 'abc']
    sent = [decision for decision in decisions if isinstance(decision, Send)]
    assert sent == decisions[:1]


def test_an_answer_of_the_target_overrides_a_forwarded_limit():
    gate = open_gate()
    gate.receive_forwarded_notice(0, IncarnationNotice('i-1', 0.5))
    sent = gate.admit(0, arrive('a', 0))
    gate.record_notice(0.2, sent.attempt, TargetNotice())
    gate.finish(0.2, sent.attempt, Answered(200))
    gate.receive_forwarded_notice(0.3, IncarnationNotice('i-1', 0.5))
    decisions = [gate.admit(0.3, arrive(name, 0.3)) for name in 'bcd']
    assert all(isinstance(decision, Send) for decision in decisions)


def test_forwarded_notices_of_another_incarnation_are_ignored():
    gate = open_gate(born=5)
    gate.receive_forwarded_notice(0, IncarnationNotice('i-1/4', 0.5))
    gate.receive_forwarded_notice(0, IncarnationNotice('i-0/5', leaving=True))
    decisions = [gate.admit(0, arrive(name, 0)) for name in 'abcd']
    assert all(isinstance(decision, Send) for decision in decisions)


def test_reports_include_the_limit_until_it_ends():
    gate = open_gate()
    sent = gate.admit(0, arrive('a', 0))
    gate.record_notice(0.1, sent.attempt, TargetNotice(2.5))
    gate.finish(0.1, sent.attempt, Answered(200))
    report = gate.report(0.1)
    assert report.notice == IncarnationNotice('i-1', 2.5)
    assert read_capacity(IDENTITY, write_capacity(report)) == report
    second = gate.admit(1, arrive('b', 1))
    gate.record_notice(1.2, second.attempt, TargetNotice())
    assert gate.report(1.2).notice is None


def test_the_effect_of_a_limit_is_recorded_rarely_under_any_load():
    fleet = Fleet(4, name_from(0, 2.0), rate=200).play(20)
    summaries = [
        entry.detail
        for entry in fleet.journal.occurrences
        if entry.code is EventCode.TARGET_LIMIT_KEPT
    ]
    assert 3 <= len(summaries) <= 5
    assert '2.0 requests a second' in summaries[-1]
    assert len(fleet.declined) > 1000
