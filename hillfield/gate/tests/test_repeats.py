"""The parts of the fleet's bound on repeats that gates keep."""

from hypothesis import given
from hypothesis import strategies as st
from pytest import approx, fixture

from hillfield.events import ListJournal
from hillfield.gate import Gate, ServedIncarnation
from hillfield.gate.calls import Call
from hillfield.gate.repeats import (
    FEWER_TARGETS_SECONDS,
    RepeatPart,
    SlidingCount,
)
from hillfield.model import (
    Address,
    Locality,
    RepeatBound,
    RepeatKind,
    RequestPlan,
    Target,
    TargetId,
)
from hillfield.routing.requests import Arrival, Refuse, Send

WINDOW = 10
TARGETS = 5
BOUND = RepeatBound(ratio=0.2, slack=30, window=WINDOW)
PART = 6
ROUNDING = 1e-6
RETRY = RepeatKind.RETRY
HEDGE = RepeatKind.HEDGE
CALL = RepeatKind.CALL
NOW = 20
TARGET = Target(
    TargetId('claims', Address('127.0.0.1', 8000), 7),
    Locality('north', 'a', 'h1'),
    40,
    300,
)


def make_part(targets=TARGETS):
    part = RepeatPart(BOUND)
    part.adopt_targets(0, targets)
    return part


def use_up(part, now, kind=RETRY):
    sent = 0
    while part.admits(now, kind):
        part.record(now, kind)
        sent += 1
    return sent


def count_recent(moments, now):
    return sum(moment > now - WINDOW for moment in moments)


# The seconds between two requests, and what each is: its gate, and its kind.
COURSE = st.lists(
    st.tuples(
        st.floats(0, 2),
        st.integers(0, TARGETS - 1),
        st.sampled_from((None, None, RETRY, RETRY, HEDGE)),
    ),
    max_size=300,
)


@given(COURSE)
def test_the_parts_of_all_gates_never_add_up_to_more_than_the_bound(course):
    parts = [make_part() for _ in range(TARGETS)]
    now, requests, repeats = float(WINDOW), [], []
    for pause, number, kind in course:
        now += pause
        part = parts[number]
        if kind is None:
            requests.append(now)
        elif part.admits(now, kind):
            repeats.append(now)
        else:
            continue
        part.record(now, kind)
        allowed = BOUND.slack + BOUND.ratio * count_recent(requests, now)
        assert count_recent(repeats, now) <= allowed + ROUNDING


def test_a_gate_that_has_started_does_not_spend_its_part_again():
    part = make_part()
    assert use_up(part, WINDOW - 1) == 0
    assert use_up(part, WINDOW) == PART


def test_repeats_before_the_part_is_complete_count_against_it():
    part = make_part()
    for _ in range(10):
        part.record(WINDOW - 2, None)
    assert use_up(part, WINDOW - 1) == 2
    assert use_up(part, WINDOW) == PART


def test_what_was_spent_may_be_spent_again_after_a_window():
    part = make_part()
    use_up(part, NOW)
    assert use_up(part, NOW + WINDOW - 1) == 0
    assert use_up(part, NOW + WINDOW + 1) == PART


def test_targets_that_are_no_longer_seen_keep_their_part_for_a_minute():
    part = make_part()
    part.adopt_targets(NOW, 1)
    assert part.compute_left(NOW) == PART
    part.adopt_targets(NOW + FEWER_TARGETS_SECONDS, 1)
    assert part.compute_left(NOW + FEWER_TARGETS_SECONDS) == BOUND.slack


def test_calls_of_repeats_count_though_they_cannot_be_declined():
    part = make_part()
    for _ in range(10):
        part.record(NOW, CALL)
    assert part.admits(NOW, CALL)
    earned = 10 * BOUND.ratio
    assert part.compute_left(NOW) == approx(PART + earned - 10)
    assert not part.admits(NOW, RETRY)


def test_hedges_leave_a_part_to_retries():
    part = make_part()
    hedges = use_up(part, NOW, HEDGE)
    assert hedges > 0
    retries = use_up(part, NOW)
    assert retries > 0
    assert hedges + retries == PART


def test_events_that_nobody_counts_are_not_kept_for_good():
    arrivals = SlidingCount(seconds=WINDOW, slot=1)
    for second in range(1000):
        arrivals.add(second)
    assert len(arrivals) <= WINDOW + 1


def test_without_a_slack_nothing_is_bounded():
    part = RepeatPart(RepeatBound())
    assert part.admits(0, RETRY)
    assert part.admits(0, HEDGE)


@fixture
def gate():
    made = Gate(ListJournal(), BOUND)
    made.serve(ServedIncarnation(TARGET, 'i-1'))
    made.adopt_targets(0, TARGETS)
    return made


def ask(gate, name, kind=None, route='read'):
    plan = RequestPlan('claims', route, 'till', True, 5, repeat=kind)
    return gate.admit(NOW, Arrival(name, plan, NOW + 5, True))


def ask_many(gate, kind):
    asked = [ask(gate, f'{kind}{number}', kind) for number in range(20)]
    return sum(isinstance(decision, Send) for decision in asked)


def test_a_gate_declines_repeats_beyond_its_part_and_takes_first_arrivals(gate):
    assert ask_many(gate, RETRY) == PART
    assert isinstance(ask(gate, 'first'), Send)


def test_a_gate_sends_more_than_its_part_while_others_have_theirs_left(gate):
    gate.watch_shares(lambda now, service: 1.0)
    assert ask_many(gate, RETRY) > PART


def test_a_gate_that_hears_nothing_new_sends_its_part_twice_at_most(gate):
    gate.watch_shares(lambda now, service: 2.0)
    assert ask_many(gate, RETRY) == 2 * PART


def test_a_gate_with_room_keeps_its_own_part_when_others_have_none(gate):
    gate.watch_shares(lambda now, service: -1.0)
    assert ask_many(gate, RETRY) == PART


def test_runs_that_call_are_not_repeated_when_the_called_bound_is_used(gate):
    first = ask(gate, 'a1')
    gate.record_written(NOW, first.attempt)
    gate.record_call(NOW, Call('a1.1', 'fees'))
    left = {'fees': 0.1, 'claims': 2.0}
    gate.watch_shares(lambda now, service: left[service])
    assert isinstance(ask(gate, 'b1', RETRY), Refuse)
    assert isinstance(ask(gate, 'c1', RETRY, route='post'), Send)
    left['fees'] = 0.5
    assert isinstance(ask(gate, 'd1', RETRY), Send)


def test_answers_tell_what_is_left_for_repeats(gate):
    assert gate.report(NOW).repeats == 1
    ask_many(gate, RETRY)
    assert gate.report(NOW).repeats == 0
