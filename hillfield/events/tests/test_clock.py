"""Stamps are consistent with causality and order all events."""

from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.events import (
    HybridClock,
    Stamp,
    TimelineEntry,
    merge_timelines,
)
from hillfield.events.clock import LOGICAL_LIMIT, MAXIMUM_LEAD

Step = tuple[int, int, int]

NODES = ('a', 'b', 'c')
# Each step: the acting node, the change of its wall clock, the receiver of its
# message.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(-50, 50),
        st.integers(0, 2),
    ),
    max_size=60,
)


STAMPS = st.builds(
    Stamp,
    st.integers(0, 2**47 - 1),
    st.integers(0, LOGICAL_LIMIT - 1),
)


def run_steps(steps: Iterable[Step]) -> list[tuple[Stamp, str]]:
    """Return stamps and nodes in causal order."""
    clocks = {node: HybridClock() for node in NODES}
    walls = dict.fromkeys(NODES, 1000)
    caused = []
    for actor, move, receiver in steps:
        node, other = NODES[actor], NODES[receiver]
        walls[node] = max(0, walls[node] + move)
        sent = clocks[node].tick(walls[node])
        caused.append((sent, node))
        if other != node:
            received = clocks[other].merge(walls[other], sent)
            assert received > sent
            caused.append((received, other))
    return caused


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS)
def test_stamps_grow_within_each_node(steps):
    caused = run_steps(steps)
    for node in NODES:
        stamps = [stamp for stamp, owner in caused if owner == node]
        assert stamps == sorted(set(stamps))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS, st.randoms(use_true_random=False))
def test_merged_order_is_total_and_causal(steps, random):
    caused = run_steps(steps)
    entries = [
        TimelineEntry(stamp, node, 1001, 'NODE_STARTED', 'info')
        for stamp, node in caused
    ]
    halves = [random.sample(entries, len(entries)) for _ in range(2)]
    merged = merge_timelines(halves)
    assert [entry.order for entry in merged] == sorted(set(caused))
    assert len(merged) == len(entries)
    for node in NODES:
        own_stamps = [stamp for stamp, owner in caused if owner == node]
        assert own_stamps == [
            each.stamp for each in merged if each.node == node
        ]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(STAMPS, STAMPS)
def test_packing_preserves_the_order(one, other):
    numbers = (one.pack(), other.pack())
    assert sorted((one, other)) == [
        Stamp.unpack(each) for each in sorted(numbers)
    ]
    assert Stamp.unpack(one.pack()) == one
    assert one.pack() < 2**63


def test_counter_overflow_carries_into_the_time():
    clock = HybridClock()
    clock.newest = Stamp(5, LOGICAL_LIMIT - 1)
    assert clock.tick(5) == Stamp(6, 0)


def test_wrong_clock_of_a_peer_is_not_followed():
    remote = Stamp(10 + MAXIMUM_LEAD + 1)
    assert HybridClock().merge(10, remote) == Stamp(10)
