"""Nodes have equal registries whatever the order of the reports."""

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import approx

from hillfield.crashes.cases import MAXIMUM_EXITS
from hillfield.crashes.messages import (
    AnswerRow,
    ClearRow,
    ExitRow,
    Findings,
)
from hillfield.crashes.proof import REFUSAL_SECONDS
from hillfield.crashes.registry import (
    MAXIMUM_CASES,
    CrashRegistry,
    is_outweighed,
    split_rows,
)
from hillfield.crashes.tests.fleet import find_differing

NOW = 1000.0
NAMES = st.sampled_from([b'\x00a', b'\x01b', b'\x10c'])
ROWS = st.builds(
    ExitRow,
    NAMES,
    st.sampled_from(['n1', 'n2', 'n3']),
    st.integers(0, 4),
    st.floats(0, 60),
    st.floats(0, 5),
)
CLEARS = st.builds(ClearRow, NAMES, st.floats(0, 60))
MANY_ROWS = st.lists(ROWS, max_size=30)
FEW_CLEARS = st.lists(CLEARS, max_size=3)


def distinct(rows):
    """Keep one row per exit, as gates number them."""
    kept = {(row.fingerprint, row.gate, row.number): row for row in rows}
    return tuple(kept.values())


def merge_all(messages):
    registry = CrashRegistry()
    for message in messages:
        registry.merge(NOW, message)
    return registry


def summarize(registry):
    return {
        name: (case.harmful, None if case.harmful else sorted(case.exits))
        for name, case in registry.cases.items()
    }


def make_row(number):
    return ExitRow(b'x', 'n1', number, 3 - number, 0.5)


def make_findings(*rows):
    return Findings(rows)


def add_proof(registry, now=NOW):
    registry.merge(now, make_findings(*map(make_row, range(3))))


@settings(derandomize=True)
@given(MANY_ROWS, FEW_CLEARS, st.randoms())
def test_order_and_repetition_change_nothing(rows, clears, random):
    messages = list(map(make_findings, distinct(rows)))
    messages.extend(Findings(clears=(clear,)) for clear in clears)
    repeated = random.sample(messages, len(messages) // 2)
    shuffled = [*messages, *repeated]
    random.shuffle(shuffled)
    one, other = merge_all(messages), merge_all(shuffled)
    assert summarize(one) == summarize(other)
    assert one.list_digests() == other.list_digests()


@settings(derandomize=True)
@given(MANY_ROWS)
def test_exchanging_differing_partitions_makes_two_equal(rows):
    split = len(rows) // 2
    one = merge_all([Findings(distinct(rows))])
    other = merge_all([Findings(distinct(rows)[:split])])
    partitions = find_differing(one, other)
    for findings in split_rows(one.export(NOW, partitions), 4):
        other.merge(NOW, findings)
    assert summarize(one) == summarize(other)


def test_a_harmful_request_is_refused_and_then_tried_once():
    registry = CrashRegistry()
    add_proof(registry)
    case = registry.cases[b'x']
    assert registry.is_refused(NOW + REFUSAL_SECONDS - 2, b'x')
    later = NOW + REFUSAL_SECONDS
    assert not registry.is_refused(later, b'x')
    assert case.claim_trial(later)
    assert not case.claim_trial(later + 1)


def test_each_harmful_trial_doubles_the_refusal_up_to_the_last_trial():
    registry = CrashRegistry()
    add_proof(registry)
    first = NOW + REFUSAL_SECONDS + 5
    registry.merge(first, make_findings(ExitRow(b'x', 'n2', 9, 0, 0.1)))
    assert registry.is_refused(first + 2 * REFUSAL_SECONDS - 1, b'x')
    second = first + 2 * REFUSAL_SECONDS + 1
    assert not registry.is_refused(second, b'x')
    registry.merge(second, make_findings(ExitRow(b'x', 'n3', 9, 0, 0.1)))
    assert registry.is_refused(second + 1000 * REFUSAL_SECONDS, b'x')


def test_exits_before_a_good_answer_are_ignored_if_reported_later():
    registry = CrashRegistry()
    registry.merge(NOW, Findings(clears=(ClearRow(b'x', 0),)))
    add_proof(registry)
    assert not registry.cases[b'x'].exits


def test_of_too_many_cases_the_harmless_are_dropped_first():
    registry = CrashRegistry()
    add_proof(registry)
    for number in range(MAXIMUM_CASES + 10):
        name = b'%08d' % number
        registry.merge(NOW, make_findings(ExitRow(name, 'n1', number, 1, 0.1)))
    assert len(registry.cases) == MAXIMUM_CASES
    assert registry.is_refused(NOW, b'x')


def test_exits_of_one_request_are_bounded():
    registry = CrashRegistry()
    for number in range(100):
        registry.merge(NOW, make_findings(ExitRow(b'x', 'n1', number, 1, 0.5)))
    assert len(registry.cases[b'x'].exits) == MAXIMUM_EXITS
    assert not registry.is_refused(NOW, b'x')


def test_ages_are_sent_by_the_clock_of_the_sender():
    registry = CrashRegistry()
    add_proof(registry)
    findings = registry.export(NOW + 7, range(16))
    assert max(row.ago for row in findings.exits) == approx(10)


def test_the_answer_to_a_trial_clears_a_request():
    # Guards against a request that is refused for good after its repair.
    registry = CrashRegistry()
    add_proof(registry)
    later = NOW + REFUSAL_SECONDS
    answer = AnswerRow(b'x', 'n9', 1, 0)
    registry.merge(later, Findings(answers=(answer,)))
    assert is_outweighed(registry, b'x')


def test_one_answer_clears_no_request_that_has_just_been_proven():
    # Guards against one target that speaks for all others.
    registry = CrashRegistry()
    add_proof(registry)
    answer = AnswerRow(b'x', 'n9', 1, 0)
    registry.merge(NOW + 1, Findings(answers=(answer,)))
    assert not is_outweighed(registry, b'x')
    assert registry.is_refused(NOW + 1, b'x')
