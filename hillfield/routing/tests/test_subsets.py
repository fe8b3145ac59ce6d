"""Choice of the targets that a node connects to."""

from collections import Counter
from itertools import cycle

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from pytest import mark

from hillfield.model import Locality, TargetState
from hillfield.routing.simulation import CONNECTION_LIMIT, make_targets
from hillfield.routing.subsets import (
    choose_subset,
    compute_connection_share,
    compute_subset_size,
)


def locate(node: int) -> Locality:
    return Locality('north', 'abc'[node % 3], f'node{node}')


# Nodes and targets of the services of two deployed fleets.
SMALLER_FLEET = ((21, 15), (21, 6))
LARGER_FLEET = ((33, 25), (33, 8))


@mark.parametrize(('nodes', 'count'), SMALLER_FLEET + LARGER_FLEET)
def test_all_targets_of_a_small_service_are_used(nodes, count):
    targets = make_targets(count, 4)
    assert choose_subset(targets, locate(0), nodes) == targets


@mark.parametrize('count', [6, 30, 100])
def test_connection_limit_holds_in_the_largest_fleet(count):
    targets = make_targets(count, 4)
    users: Counter[object] = Counter()
    for node in range(600):
        users.update(choose_subset(targets, locate(node), 600))
    size = compute_subset_size(targets, 600)
    allowed = compute_connection_share(targets[0], 600, size, count)
    assert len(users) == count
    assert max(users.values()) * allowed <= CONNECTION_LIMIT


@given(st.integers(33, 200), st.integers(0, 500))
@settings(derandomize=True, max_examples=30, deadline=None)
def test_removing_a_target_changes_one_place(count, node):
    targets = make_targets(count, 4)
    before = set(choose_subset(targets, locate(node), 21))
    gone = min(before, key=lambda target: target.id)
    rest = tuple(target for target in targets if target != gone)
    after = set(choose_subset(rest, locate(node), 21))
    assert len(after - before) <= 2
    local = {one for one in after if one.locality.failure_domain in 'abc'}
    assert len(local) >= 2


def test_draining_targets_stay_known_beyond_the_subset_size():
    targets = make_targets(50, 4)
    leaving = replace(targets[0], state=TargetState.DRAINING)
    announced = (leaving, *targets[1:])
    chosen = choose_subset(announced, locate(1), 21)
    assert leaving in chosen
    assert len(chosen) == 32 + 1


def test_half_of_a_subset_is_of_the_own_failure_domain():
    """Of 178 targets in five domains, a node had six of its own domain."""
    domains = cycle('abcde')
    targets = tuple(
        replace(target, locality=Locality('north', domain, 't'))
        for target, domain in zip(make_targets(178, 3), domains, strict=False)
    )
    for node in range(47):
        chosen = choose_subset(targets, Locality('north', 'a', f'n{node}'), 235)
        places = [one.locality.failure_domain for one in chosen]
        assert len(chosen) == 32
        assert places.count('a') >= 16


def test_near_targets_are_used_evenly():
    """The most used of 35 targets has at most twice the mean users."""
    targets = tuple(
        replace(target, locality=Locality('north', 'a', f't{number}'))
        for number, target in enumerate(make_targets(35, 3))
    )
    users: Counter[object] = Counter()
    for node in range(47):
        place = Locality('north', 'a', f'n{node}')
        users.update(choose_subset(targets, place, 235))
    mean = users.total() / len(targets)
    assert max(users.values()) <= 2 * mean
