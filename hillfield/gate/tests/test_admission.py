"""Which requests a full gate serves, and which it declines: simulated load.

The simulated target takes equally long for all requests of a route; the clock
is simulated.
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
from hillfield.gate import Gate, ServedIncarnation
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
# Seconds after which the gate's measurements are stable.
SETTLED = 5.0
END = 30.0
WINDOWS = 5
# Minimum Jain fairness index of the accounts' service relative to their shares
# (1: equal).
MINIMUM_JAIN = 0.98
# Fraction of its requests by which a more urgent kind may be served less.
MAXIMUM_DEFICIT = 0.01
# Seconds of two kinds of requests, and the part of the target's capacity that
# each asks for: together 1.6 times what it serves.
LONG = 0.22
SHORT = 0.044
DEMAND = 0.8 * SLOTS
LENGTHS = MappingProxyType({'long': LONG, 'short': SHORT})
IDENTITY = TargetId('refunds', Address('127.0.0.1', 8000), 7)
HOME = Locality('north', 'a', 'h1')
TARGET = Target(IDENTITY, HOME, SLOTS, 300)
OTHERS = 'bcdefghij'
# Request rates of ten accounts: the first asks ten times a tenth of the
# capacity.
DEMANDS = MappingProxyType({'a': RATE, **dict.fromkeys(OTHERS, RATE / 10)})


class Simulation:
    """Send requests to a gate; record what becomes of each and when."""

    def __init__(self, slots=SLOTS):
        self.gate = Gate(ListJournal())
        self.gate.serve(ServedIncarnation(replace(TARGET, slots=slots), 'i-1'))
        self.slots = slots
        self.plans = {}
        self.started_at = {}
        self.arrived_at = {}
        self.running = []
        self.decision_counts: Counter[str] = Counter()
        self.refused = {}
        self.ended_at = {}

    def ask(self, now, plan):
        """Let a request arrive, after all attempts that have ended by then."""
        self.run_until(now)
        name = f'r{len(self.plans)}'
        self.plans[name] = plan
        self.arrived_at[name] = now
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
        self.ended_at[name] = moment
        self.poll(moment)

    def poll(self, now):
        for decision in self.gate.poll(now):
            self.take(now, decision, decision.request)
        free = self.slots - len(self.running)
        assert free >= 0
        assert not free or not count_waiting(self.gate, now)

    def take(self, now, decision, name):
        if isinstance(decision, Wait):
            return
        self.decision_counts[name] += 1
        if isinstance(decision, Send):
            self.gate.record_written(now, decision.attempt)
            self.started_at[name] = now
            seconds = LENGTHS.get(self.plans[name].route, WORK)
            heappush(self.running, (now + seconds, decision.attempt, name))
        else:
            assert isinstance(decision, Refuse)
            assert decision.failure.outcome is Outcome.NOT_RUN
            assert decision.failure.retry_after
            self.refused[name] = decision.failure.detail


def count_waiting(gate, now):
    report = gate.report(now)
    assert report is not None
    return report.waiting


def make_plan(account='', priority=0, **more):
    fields = {'route': 'r', 'idempotent': True, 'deadline': 4.0, **more}
    return RequestPlan('refunds', account=account, priority=priority, **fields)


def run_demands(demands, seed=1):
    """Let the requests of each plan arrive at random at its rate."""
    simulation = Simulation()
    random = Random(seed)
    arrivals = []
    for number, (plan, rate) in enumerate(demands):
        moment = random.expovariate(rate)
        while moment < END:
            arrivals.append((moment, number))
            moment += random.expovariate(rate)
    for moment, number in sorted(arrivals):
        simulation.ask(moment, demands[number][0])
    return simulation


def count_windows(simulation, moments, key):
    """Count events by window and key."""
    windows: defaultdict[float, Counter[str]] = defaultdict(Counter)
    for name, moment in moments.items():
        if SETTLED <= moment < END:
            windows[moment // WINDOW][key(simulation.plans[name])] += 1
    return windows


def share_fairly(demands, capacity):
    """Return the max-min fair shares of the demands."""
    fair_shares = {}
    left = capacity
    remaining = len(demands)
    for name in sorted(demands, key=demands.__getitem__):
        fair_shares[name] = min(demands[name], left / remaining)
        left -= fair_shares[name]
        remaining -= 1
    return fair_shares


def compute_jain(ratios):
    square_sum = sum(one**2 for one in ratios)
    return sum(ratios) ** 2 / len(ratios) / square_sum


def test_an_account_that_asks_ten_times_its_share_gets_its_share():
    demands = [(make_plan(name), rate) for name, rate in DEMANDS.items()]
    for seed in range(3):
        simulation = run_demands(demands, seed)
        arrived = count_windows(
            simulation,
            simulation.arrived_at,
            lambda plan: plan.account,
        )
        served = count_windows(
            simulation,
            simulation.started_at,
            lambda plan: plan.account,
        )
        assert len(served) == WINDOWS
        for window, counts in served.items():
            fair_shares = share_fairly(arrived[window], counts.total())
            ratios = [counts[name] / part for name, part in fair_shares.items()]
            assert len(ratios) == len(DEMANDS)
            assert compute_jain(ratios) >= MINIMUM_JAIN, (seed, ratios)


def compute_served(simulation, priority):
    """Return the fraction served of each window's requests of a priority."""
    arrived = count_windows(
        simulation,
        simulation.arrived_at,
        lambda plan: plan.priority,
    )
    started_at = {
        name: simulation.arrived_at[name] for name in simulation.started_at
    }
    served = count_windows(simulation, started_at, lambda plan: plan.priority)
    return [
        served[window][priority] / counts[priority]
        for window, counts in sorted(arrived.items())
    ]


@mark.parametrize('aim', [0, 0.4, 1])
def test_more_urgent_requests_are_never_served_less(aim):
    """Holds too where the less urgent requests are the shorter ones."""
    urgent = make_plan(priority=0, route='long', aim=aim)
    normal = make_plan(priority=1, route='short', aim=0.2)
    demand_rates = ((urgent, DEMAND / LONG), (normal, DEMAND / SHORT))
    for seed in range(3):
        simulation = run_demands(demand_rates, seed)
        first = compute_served(simulation, 0)
        assert len(first) == WINDOWS
        for more, less in zip(
            first,
            compute_served(simulation, 1),
            strict=True,
        ):
            assert less - more <= MAXIMUM_DEFICIT, (seed, first)


def fill(simulation, plan, now):
    """Send requests until the first is declined."""
    while not simulation.refused:
        simulation.ask(now, plan)
    simulation.refused.clear()


def warm():
    simulation = Simulation()
    for number in range(20):
        simulation.ask(number, make_plan())
    return simulation


def test_a_gate_full_of_less_urgent_work_accepts_urgent_work():
    simulation = warm()
    fill(simulation, make_plan(priority=1), 30)
    urgent = simulation.ask(30, make_plan(priority=0))
    assert urgent not in simulation.refused
    assert list(simulation.refused.values()) == ['others go first']
    later = simulation.ask(30, make_plan(priority=1))
    assert simulation.refused[later] == 'all slots are taken'


def test_displaced_requests_are_declined_at_once():
    simulation = warm()
    fill(simulation, make_plan(priority=1), 30)
    gate = simulation.gate
    assert gate.next_due() is None
    gate.admit(30, Arrival('urgent', make_plan(), 34, True))
    assert gate.next_due() is not None
    decisions = gate.poll(30)
    assert len(decisions) == 1
    displaced = decisions[0]
    assert displaced.failure.detail == 'others go first'
    assert displaced.failure.outcome is Outcome.NOT_RUN
    assert gate.next_due() is None


def test_displaced_requests_are_declined_when_the_target_leaves():
    simulation = warm()
    fill(simulation, make_plan(priority=1), 30)
    waiting = count_waiting(simulation.gate, 30)
    simulation.gate.admit(30, Arrival('urgent', make_plan(), 34, True))
    simulation.gate.serve(None)
    assert len(simulation.gate.poll(30)) == waiting + 1


def test_calls_are_never_displaced_by_new_work():
    simulation = warm()
    call = make_plan(priority=5, origin='desk', aim=0.2, route='call')
    fill(simulation, call, 30)
    simulation.gate.admit(30, Arrival('urgent', make_plan(), 34, True))
    details = [
        decision.failure.detail
        for decision in simulation.gate.poll(30)
        if isinstance(decision, Refuse)
    ]
    assert 'others go first' not in details


def test_the_reported_wait_is_that_of_the_lowest_rank():
    simulation = warm()
    fill(simulation, make_plan(priority=1), 30)
    report = simulation.gate.report(30)
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
def test_each_request_has_one_decision_and_no_slot_is_idle(steps):
    """Each poll also asserts that no slot is idle while a request waits."""
    simulation = Simulation(slots=2)
    now: float = 0
    for pause, plan in steps:
        now += pause
        simulation.ask(now, plan)
    while simulation.running:
        simulation.end_next()
    names = set(simulation.plans)
    assert dict(simulation.decision_counts) == dict.fromkeys(names, 1)
    assert set(simulation.started_at) == names - set(simulation.refused)
