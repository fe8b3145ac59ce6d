"""Who is served by a full gate, and who is declined: whole gates, modelled.

A modelled target takes equally long for all requests of a route; the clock is
the test's own.
"""

from collections import Counter, defaultdict
from heapq import heappop, heappush
from random import Random
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from pytest import approx, mark

from hillfield.events import ListJournal
from hillfield.gate import Gate, Seat
from hillfield.model import (
    Address,
    Locality,
    Outcome,
    RequestPlan,
    Target,
    TargetId,
)
from hillfield.routing.requests import Answered, Arrival, Refuse, Send, Wait

SLOTS = 6
WORK = 0.11
RATE = SLOTS / WORK
WINDOW = 5.0
# Seconds after which what the gate measures has settled.
SETTLED = 5.0
END = 30.0
WINDOWS = 5
# How alike accounts must be served beside their parts (Jain: 1 is alike).
LEAST_JAIN = 0.98
# Share of its requests by which a more urgent kind may be served less.
MOST_BEHIND = 0.01
# Seconds of two kinds of requests, and the part of the target's time that each
# asks for: together 1.6 times what it serves.
LONG = 0.22
SHORT = 0.044
CROWDED = 0.8 * SLOTS
LENGTHS = MappingProxyType({'long': LONG, 'short': SHORT})
IDENTITY = TargetId('refunds', Address('127.0.0.1', 8000), 7)
HOME = Locality('north', 'a', 'h1')
TARGET = Target(IDENTITY, HOME, SLOTS, 300)
OTHERS = 'bcdefghij'
# What ten accounts ask of a gate: the first ten times a tenth of it.
CROWD = MappingProxyType({'a': RATE, **dict.fromkeys(OTHERS, RATE / 10)})


class Play:
    """Give a gate requests; note when each was sent, served or declined."""

    def __init__(self, slots=SLOTS):
        self.gate = Gate(ListJournal())
        self.gate.take_seat(Seat(replace(TARGET, slots=slots), 'i-1'))
        self.slots = slots
        self.plans = {}
        self.begun = {}
        self.asked = {}
        self.running = []
        self.verdicts: Counter[str] = Counter()
        self.refused = {}
        self.ends = {}

    def ask(self, now, plan):
        """Let a request come, after all that has ended by then."""
        self.run_until(now)
        name = f'r{len(self.plans)}'
        self.plans[name] = plan
        self.asked[name] = now
        arrival = Arrival(name, plan, now + plan.deadline, True)
        self.take(now, self.gate.admit(now, arrival), name)
        self.poll(now)
        return name

    def run_until(self, now):
        while self.running and self.running[0][0] <= now:
            self.end_next()

    def end_next(self):
        moment, attempt, name = heappop(self.running)
        self.gate.finish(moment, attempt, Answered(200))
        self.ends[name] = moment
        self.poll(moment)

    def poll(self, now):
        for verdict in self.gate.poll(now):
            self.take(now, verdict, verdict.request)
        free = self.slots - len(self.running)
        assert free >= 0
        assert not free or not count_waiting(self.gate, now)

    def take(self, now, verdict, name):
        if isinstance(verdict, Wait):
            return
        self.verdicts[name] += 1
        if isinstance(verdict, Send):
            self.gate.note_written(now, verdict.attempt)
            self.begun[name] = now
            seconds = LENGTHS.get(self.plans[name].route, WORK)
            heappush(self.running, (now + seconds, verdict.attempt, name))
        else:
            assert isinstance(verdict, Refuse)
            assert verdict.failure.outcome is Outcome.NOT_RUN
            assert verdict.failure.retry_after
            self.refused[name] = verdict.failure.detail


def count_waiting(gate, now):
    report = gate.report(now)
    assert report is not None
    return report.waiting


def make_plan(account='', priority=0, **more):
    fields = {'route': 'r', 'idempotent': True, 'deadline': 4.0, **more}
    return RequestPlan('refunds', account=account, priority=priority, **fields)


def play_demands(demands, seed=1):
    """Let each plan come at its rate, unevenly, until the end."""
    play = Play()
    random = Random(seed)
    arrivals = []
    for number, (plan, rate) in enumerate(demands):
        moment = random.expovariate(rate)
        while moment < END:
            arrivals.append((moment, number))
            moment += random.expovariate(rate)
    for moment, number in sorted(arrivals):
        play.ask(moment, demands[number][0])
    return play


def count_windows(play, moments, key):
    """Count by window and key what happened at these moments."""
    windows: defaultdict[float, Counter[str]] = defaultdict(Counter)
    for name, moment in moments.items():
        if SETTLED <= moment < END:
            windows[moment // WINDOW][key(play.plans[name])] += 1
    return windows


def share_fairly(demands, capacity):
    """Return the max-min fair parts of what is asked."""
    parts = {}
    left = capacity
    hungry = len(demands)
    for name in sorted(demands, key=demands.__getitem__):
        parts[name] = min(demands[name], left / hungry)
        left -= parts[name]
        hungry -= 1
    return parts


def find_jain(ratios):
    squares = sum(one**2 for one in ratios)
    return sum(ratios) ** 2 / len(ratios) / squares


def test_an_account_that_asks_ten_times_its_part_gets_its_part():
    demands = [(make_plan(name), rate) for name, rate in CROWD.items()]
    for seed in range(3):
        play = play_demands(demands, seed)
        asked = count_windows(play, play.asked, lambda plan: plan.account)
        served = count_windows(play, play.begun, lambda plan: plan.account)
        assert len(served) == WINDOWS
        for window, counts in served.items():
            parts = share_fairly(asked[window], counts.total())
            ratios = [counts[name] / part for name, part in parts.items()]
            assert len(ratios) == len(CROWD)
            assert find_jain(ratios) >= LEAST_JAIN, (seed, ratios)


def find_served(play, priority):
    """Return the share served of what a window asked, of one priority."""
    asked = count_windows(play, play.asked, lambda plan: plan.priority)
    begun = {name: play.asked[name] for name in play.begun}
    served = count_windows(play, begun, lambda plan: plan.priority)
    return [
        served[window][priority] / counts[priority]
        for window, counts in sorted(asked.items())
    ]


@mark.parametrize('aim', [0, 0.4, 1])
def test_the_more_urgent_kind_is_never_served_less(aim):
    """Also where the other kind is the shorter one, which went first."""
    urgent = make_plan(priority=0, route='long', aim=aim)
    usual = make_plan(priority=1, route='short', aim=0.2)
    crowd = ((urgent, CROWDED / LONG), (usual, CROWDED / SHORT))
    for seed in range(3):
        play = play_demands(crowd, seed)
        first = find_served(play, 0)
        assert len(first) == WINDOWS
        for more, less in zip(first, find_served(play, 1), strict=True):
            assert less - more <= MOST_BEHIND, (seed, first)


def fill(play, plan, now):
    """Ask until the first is declined."""
    while not play.refused:
        play.ask(now, plan)
    play.refused.clear()


def warm():
    play = Play()
    for number in range(20):
        play.ask(number, make_plan())
    return play


def test_a_gate_full_of_less_urgent_work_takes_the_urgent():
    play = warm()
    fill(play, make_plan(priority=1), 30)
    urgent = play.ask(30, make_plan(priority=0))
    assert urgent not in play.refused
    assert list(play.refused.values()) == ['others go first']
    later = play.ask(30, make_plan(priority=1))
    assert play.refused[later] == 'all slots are taken'


def test_what_makes_way_is_told_at_once():
    play = warm()
    fill(play, make_plan(priority=1), 30)
    gate = play.gate
    assert gate.next_due() is None
    gate.admit(30, Arrival('urgent', make_plan(), 34, True))
    assert gate.next_due() is not None
    verdicts = gate.poll(30)
    assert len(verdicts) == 1
    told = verdicts[0]
    assert told.failure.detail == 'others go first'
    assert told.failure.outcome is Outcome.NOT_RUN
    assert gate.next_due() is None


def test_what_makes_way_is_told_also_when_the_target_leaves():
    play = warm()
    fill(play, make_plan(priority=1), 30)
    waiting = count_waiting(play.gate, 30)
    play.gate.admit(30, Arrival('urgent', make_plan(), 34, True))
    play.gate.take_seat(None)
    assert len(play.gate.poll(30)) == waiting + 1


def test_no_call_makes_way_for_new_work():
    play = warm()
    call = make_plan(priority=5, origin='desk', aim=0.2, route='call')
    fill(play, call, 30)
    play.gate.admit(30, Arrival('urgent', make_plan(), 34, True))
    details = [
        verdict.failure.detail
        for verdict in play.gate.poll(30)
        if isinstance(verdict, Refuse)
    ]
    assert 'others go first' not in details


def test_the_wait_that_is_told_is_that_of_the_lowest_rank():
    play = warm()
    fill(play, make_plan(priority=1), 30)
    report = play.gate.report(30)
    assert report is not None
    wait = (report.waiting + 1) * WORK / SLOTS
    assert report.wait == approx(wait, abs=0.001)


plans = st.builds(
    make_plan,
    account=st.sampled_from(('', 'till', 'desk')),
    priority=st.integers(0, 2),
    route=st.sampled_from(('long', 'short')),
    aim=st.sampled_from((0, 0.1, 1)),
    origin=st.sampled_from(('', 'refunds', 'shop')),
    deadline=st.sampled_from((0.5, 4.0)),
)
steps = st.lists(
    st.tuples(st.floats(0, 0.05), plans),
    min_size=1,
    max_size=60,
)


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(steps=steps)
def test_each_request_has_one_verdict_and_no_slot_is_idle(steps):
    """That no slot is idle while one waits is asked after each poll."""
    play = Play(slots=2)
    now: float = 0
    for pause, plan in steps:
        now += pause
        play.ask(now, plan)
    while play.running:
        play.end_next()
    names = set(play.plans)
    assert dict(play.verdicts) == dict.fromkeys(names, 1)
    assert set(play.begun) == names - set(play.refused)
