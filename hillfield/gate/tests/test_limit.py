"""How the gate keeps the limit that its target names."""

from random import Random

from pytest import fixture, mark

from hillfield.events import EventCode, ListJournal
from hillfield.gate import Gate, Seat
from hillfield.gate.limit import BURST_SECONDS, MINIMUM_RATE, RateLimit
from hillfield.gate.waiting import MAXIMUM_WAIT
from hillfield.loadreports import read_room, write_room
from hillfield.model import (
    Address,
    LifeNotice,
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
    """Send requests to a gate at random moments, whose target answers.

    `notice` is what the target says at each moment.
    """

    def __init__(self, seed, notice, asked=20.0, work=WORK):
        self.journal = ListJournal()
        self.gate = Gate(self.journal)
        self.gate.take_seat(Seat(TARGET, 'i-1'))
        self.notice = notice
        self.asked = asked
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
            for verdict in self.gate.poll(self.now):
                self._take(verdict)
        return self

    def _ask_some(self):
        if self._random.random() < self.asked * STEP:
            name = f'r{self.now}'
            arrival = arrive(name, self.now)
            self._take(self.gate.admit(self.now, arrival))

    def _take(self, verdict):
        match verdict:
            case Send():
                self.sent.append(self.now)
                self.gate.note_written(self.now, verdict.attempt)
                work = self.work * self._random.uniform(0.5, 2)
                self._ends.append((self.now + work, verdict.attempt))
            case Refuse():
                self.declined.append(verdict.failure)

    def _end_some(self):
        for end in sorted(self._ends):
            if end[0] <= self.now:
                self._ends.remove(end)
                said = self.notice(self.now)
                self.gate.note_notice(self.now, end[1], said)
                self.gate.finish(self.now, end[1], Answered(200))


def count_most(moments, window=WINDOW):
    return max(
        sum(start <= moment < start + window for moment in moments)
        for start in moments
    )


def name_from(start, rate):
    """Return what a target says that names a limit from a moment on."""
    return lambda now: TargetNotice(rate if now >= start else None)


@fixture
def limit():
    return RateLimit()


@mark.parametrize('seed', range(20))
@mark.parametrize('rate', (0, 0.4, 2.4, 7.5))
def test_no_window_holds_more_than_the_limit_and_what_is_saved(seed, rate):
    fleet = Fleet(seed, name_from(3, rate)).play(15)
    after = [moment for moment in fleet.sent if moment > 3 + 3 * WORK]
    pace = max(MINIMUM_RATE, rate)
    saved = max(1, BURST_SECONDS * pace)
    assert count_most(after) <= pace * WINDOW + saved


@mark.parametrize('seed', range(10))
def test_a_limited_target_is_used_in_full(seed):
    fleet = Fleet(seed, name_from(0, 5.0)).play(40)
    assert len(fleet.sent) >= 0.9 * 5.0 * 40


def test_what_does_not_fit_is_told_that_it_has_not_run_and_when_to_return():
    fleet = Fleet(1, name_from(0, 2.0)).play(10)
    limited = [
        failure
        for failure in fleet.declined
        if failure.event == EventCode.TARGET_LIMITED
    ]
    assert limited
    assert all(told.outcome is Outcome.NOT_RUN for told in limited)
    assert all(told.retry_after > MAXIMUM_WAIT for told in limited)
    assert '2.0 requests a second' in limited[0].detail


def test_a_limit_that_ends_leaves_no_trace():
    def say(now):
        return TargetNotice(1.0 if 2 <= now < 6 else None)

    fleet = Fleet(3, say).play(14)
    codes = [told.code for told in fleet.journal.occurrences]
    assert EventCode.TARGET_LIMIT_NAMED in codes
    assert EventCode.TARGET_LIMIT_ENDED in codes
    freely = sum(moment > 9 for moment in fleet.sent)
    slots_allow = TARGET.slots / (1.25 * WORK)
    assert freely > 0.9 * 5 * min(fleet.asked, slots_allow)


def test_a_target_that_takes_none_is_asked_now_and_then():
    def say(now):
        return TargetNotice(0 if now < 20 else None)

    fleet = Fleet(5, say).play(30)
    during = [moment for moment in fleet.sent if 4 < moment < 20]
    assert during
    assert count_most(during) <= 2
    assert len([moment for moment in fleet.sent if moment > 26]) > 30


def test_an_answer_that_overlaps_lifts_nothing(limit):
    limit.apply_notice(1, 0.5, 2)
    assert not limit.apply_notice(1.1, 0.6, None)
    assert not limit.apply_notice(1.2, 0.6, 9)
    assert limit.rate == 2
    assert limit.apply_notice(1.3, 0.6, 1.5)
    assert limit.apply_notice(2.0, 1.4, None)
    assert limit.rate is None


def test_a_word_that_cannot_be_read_changes_nothing():
    def say(now):
        return (
            TargetNotice(2.0)
            if now < 3
            else TargetNotice(unread='nan', vague=True)
        )

    fleet = Fleet(7, say).play(12)
    late = [moment for moment in fleet.sent if moment > 4]
    assert count_most(late) <= 2 * WINDOW + 1
    codes = [told.code for told in fleet.journal.occurrences]
    assert EventCode.TARGET_NOTICE_UNREAD in codes


def test_another_life_is_not_bound_by_the_word_of_the_one_before():
    fleet = Fleet(9, name_from(0, 1.0)).play(5)
    other = TargetId('refunds', IDENTITY.address, 8)
    seat = Seat(Target(other, TARGET.locality, 4, 300), 'i-2')
    fleet.gate.take_seat(seat)
    verdicts = [fleet.gate.admit(5, arrive(name, 5)) for name in 'abcd']
    assert all(isinstance(verdict, Send) for verdict in verdicts)


def test_what_waited_before_the_limit_was_named_waits_for_its_turn():
    gate = Gate(ListJournal())
    gate.take_seat(Seat(TARGET, 'i-1'))
    arrivals = [arrive(name, 0) for name in 'abcdefgh']
    verdicts = [gate.admit(0, arrival) for arrival in arrivals]
    sent = [verdict for verdict in verdicts if isinstance(verdict, Send)]
    assert len(sent) == TARGET.slots
    for verdict in sent:
        gate.note_notice(0.1, verdict.attempt, TargetNotice(2))
        gate.finish(0.1, verdict.attempt, Answered(200))
    later = gate.poll(0.1)
    assert not any(isinstance(found, Send) for found in later)


def test_a_limited_target_tells_of_no_more_room_than_it_takes():
    fleet = Fleet(1, name_from(0, 2.0)).play(5)
    fleet.gate.poll(fleet.now)
    report = fleet.gate.report(fleet.now)
    assert report.free <= 1
    fleet.asked = 0
    fleet.play(3)
    assert fleet.gate.report(fleet.now).free == 1


def open_gate(born=None):
    gate = Gate(ListJournal())
    gate.take_seat(Seat(TARGET, 'i-1', born))
    return gate


def test_a_fresh_gate_takes_the_word_of_a_node_that_was_told():
    gate = open_gate()
    gate.adopt_told(0, LifeNotice('i-1', 0.5))
    verdicts = [gate.admit(0, arrive(name, 0)) for name in 'abc']
    sent = [verdict for verdict in verdicts if isinstance(verdict, Send)]
    assert sent == verdicts[:1]


def test_the_target_itself_goes_before_what_another_node_was_told():
    gate = open_gate()
    gate.adopt_told(0, LifeNotice('i-1', 0.5))
    sent = gate.admit(0, arrive('a', 0))
    gate.note_notice(0.2, sent.attempt, TargetNotice())
    gate.finish(0.2, sent.attempt, Answered(200))
    gate.adopt_told(0.3, LifeNotice('i-1', 0.5))
    verdicts = [gate.admit(0.3, arrive(name, 0.3)) for name in 'bcd']
    assert all(isinstance(verdict, Send) for verdict in verdicts)


def test_what_was_told_of_another_life_binds_nobody():
    gate = open_gate(born=5)
    gate.adopt_told(0, LifeNotice('i-1/4', 0.5))
    gate.adopt_told(0, LifeNotice('i-0/5', leaving=True))
    verdicts = [gate.admit(0, arrive(name, 0)) for name in 'abcd']
    assert all(isinstance(verdict, Send) for verdict in verdicts)


def test_reports_tell_the_limit_until_it_ends():
    gate = open_gate()
    sent = gate.admit(0, arrive('a', 0))
    gate.note_notice(0.1, sent.attempt, TargetNotice(2.5))
    gate.finish(0.1, sent.attempt, Answered(200))
    report = gate.report(0.1)
    assert report.notice == LifeNotice('i-1', 2.5)
    assert read_room(IDENTITY, write_room(report)) == report
    later = gate.admit(1, arrive('b', 1))
    gate.note_notice(1.2, later.attempt, TargetNotice())
    assert gate.report(1.2).notice is None


def test_what_a_limit_does_is_told_now_and_then_however_much_is_declined():
    fleet = Fleet(4, name_from(0, 2.0), asked=200).play(20)
    told = [
        kept.detail
        for kept in fleet.journal.occurrences
        if kept.code is EventCode.TARGET_LIMIT_KEPT
    ]
    assert 3 <= len(told) <= 5
    assert '2.0 requests a second' in told[-1]
    assert len(fleet.declined) > 1000
