"""The bound on repeats holds whatever happens to nodes and datagrams."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.repeats import RepeatKind
from hillfield.repeats.tests.fleet import Fleet

NODES = st.integers(0, 11)
SIZE = 12
KINDS = st.sampled_from(tuple(RepeatKind))
EVENTS = st.one_of(
    st.tuples(st.just('kill'), NODES),
    st.tuples(st.just('start'), NODES),
    st.tuples(st.just('freeze'), NODES, st.floats(0.2, 8)),
    st.tuples(st.just('cut'), st.sets(NODES, min_size=1)),
    st.tuples(st.just('heal')),
    st.tuples(st.just('kill_lender')),
)
SPELLS = st.tuples(
    st.floats(0.2, 6),
    st.sampled_from((0, 5, 40, 200)),
    st.sampled_from((0, 0.3, 0.9)),
    st.integers(0, 60),
    KINDS,
)


def change(fleet, kind, *more):
    match kind:
        case 'kill':
            fleet.kill(f'n{more[0]}')
        case 'kill_lender':
            fleet.kill(fleet.find_lender('till'))
        case 'start':
            # One that runs is not started again.
            if f'n{more[0]}' in fleet.dead:
                fleet.start(f'n{more[0]}')
        case 'freeze':
            fleet.freeze(f'n{more[0]}', more[1])
        case 'cut':
            fleet.cut(more[0])
        case 'heal':
            fleet.cut(range(SIZE), 0)


@settings(deadline=None, max_examples=60)
@given(
    st.integers(0, 1000),
    st.sampled_from((0, 0.12, 0.5)),
    st.lists(st.tuples(EVENTS, SPELLS), min_size=2, max_size=10),
)
def test_no_window_passes_the_bound(seed, lost, story):
    fleet = Fleet(SIZE, ('till', 'fees'), seed, lost)
    fleet.play(12, {'till': 40, 'fees': 5}, calls=10)
    for event, (seconds, rate, shed, calls, kind) in story:
        change(fleet, *event)
        rates = {'till': rate, 'fees': 3}
        fleet.play(seconds, rates, shed, calls, kind)
    assert fleet.find_worst('till') <= 0
    assert fleet.find_worst('fees') <= 0
