"""What nodes hold is the same whatever they were told, and in which order."""

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import approx

from hillfield.crashes.cases import ENDS_KEPT
from hillfield.crashes.ledger import CASES_KEPT, CrashLedger, split_rows
from hillfield.crashes.messages import ClearRow, EndRow, Findings
from hillfield.crashes.proof import HOLD
from hillfield.crashes.tests.fleet import find_differing

NOW = 1000.0
NAMES = st.sampled_from([b'\x00a', b'\x01b', b'\x10c'])
ROWS = st.builds(
    EndRow,
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
    """Keep one row an end, as gates number them."""
    kept = {(row.fingerprint, row.gate, row.number): row for row in rows}
    return tuple(kept.values())


def take_all(messages):
    ledger = CrashLedger()
    for message in messages:
        ledger.take(NOW, message)
    return ledger


def show(ledger):
    return {
        name: (case.harmful, None if case.harmful else sorted(case.ends))
        for name, case in ledger.cases.items()
    }


def make_row(turn):
    return EndRow(b'x', 'n1', turn, 3 - turn, 0.5)


def tell(*rows):
    return Findings(rows)


def prove(ledger, now=NOW):
    ledger.take(now, tell(*map(make_row, range(3))))


@settings(derandomize=True)
@given(MANY_ROWS, FEW_CLEARS, st.randoms())
def test_order_and_repeats_change_nothing(rows, clears, random):
    messages = list(map(tell, distinct(rows)))
    messages.extend(Findings(clears=(clear,)) for clear in clears)
    repeated = random.sample(messages, len(messages) // 2)
    shuffled = [*messages, *repeated]
    random.shuffle(shuffled)
    one, other = take_all(messages), take_all(shuffled)
    assert show(one) == show(other)
    assert one.list_digests() == other.list_digests()


@settings(derandomize=True)
@given(MANY_ROWS)
def test_what_is_told_of_differing_parts_makes_two_alike(rows):
    split = len(rows) // 2
    one = take_all([Findings(distinct(rows))])
    other = take_all([Findings(distinct(rows)[:split])])
    parts = find_differing(one, other)
    for told in split_rows(one.tell(NOW, parts), 4):
        other.take(NOW, told)
    assert show(one) == show(other)


def test_a_harmful_request_is_refused_for_the_hold_and_then_tried_once():
    ledger = CrashLedger()
    prove(ledger)
    case = ledger.cases[b'x']
    assert ledger.holds(NOW + HOLD - 2, b'x')
    later = NOW + HOLD
    assert not ledger.holds(later, b'x')
    assert case.may_try(later)
    assert not case.may_try(later + 1)


def test_each_trial_that_ends_a_target_doubles_the_hold_until_none_is_left():
    ledger = CrashLedger()
    prove(ledger)
    first = NOW + HOLD + 5
    ledger.take(first, tell(EndRow(b'x', 'n2', 9, 0, 0.1)))
    assert ledger.holds(first + 2 * HOLD - 1, b'x')
    second = first + 2 * HOLD + 1
    assert not ledger.holds(second, b'x')
    ledger.take(second, tell(EndRow(b'x', 'n3', 9, 0, 0.1)))
    assert ledger.holds(second + 1000 * HOLD, b'x')


def test_what_ended_before_a_good_answer_is_void_also_when_told_later():
    ledger = CrashLedger()
    ledger.take(NOW, Findings(clears=(ClearRow(b'x', 0),)))
    prove(ledger)
    assert not ledger.cases[b'x'].ends


def test_of_too_many_the_harmless_are_forgotten_first():
    ledger = CrashLedger()
    prove(ledger)
    for number in range(CASES_KEPT + 10):
        name = b'%08d' % number
        ledger.take(NOW, tell(EndRow(name, 'n1', number, 1, 0.1)))
    assert len(ledger.cases) == CASES_KEPT
    assert ledger.holds(NOW, b'x')


def test_ends_of_one_request_are_bounded():
    ledger = CrashLedger()
    for number in range(100):
        ledger.take(NOW, tell(EndRow(b'x', 'n1', number, 1, 0.5)))
    assert len(ledger.cases[b'x'].ends) == ENDS_KEPT
    assert not ledger.holds(NOW, b'x')


def test_ages_are_told_by_the_clock_of_who_tells():
    ledger = CrashLedger()
    prove(ledger)
    told = ledger.tell(NOW + 7, range(16))
    assert max(row.ago for row in told.ends) == approx(10)
