"""Which nodes of a failure domain receive reports of a target."""

from types import SimpleNamespace
from typing import Any

from pytest import mark

from hillfield.fleet import NodeRecord
from hillfield.model import Address, Locality, Target, TargetId
from hillfield.node.targetusers import (
    MAXIMUM_RECIPIENTS,
    USERS_CACHED_SECONDS,
    TargetUsers,
)
from hillfield.routing.subsets import LARGEST_SUBSET, choose_subset

DOMAINS = 'abcde'


def locate(number, region='r'):
    name = f'{region}{number}'
    return Locality(region, DOMAINS[number % len(DOMAINS)], name)


def name_ip(number):
    place, subnet = divmod(number, len(DOMAINS))
    return f'10.{subnet}.0.{place}'


def make_node(number, region='r'):
    place = locate(number, region)
    address = Address(name_ip(number), 7000)
    return NodeRecord(place.host, place, address, address, address)


def make_target(number):
    address = Address(name_ip(number), 80)
    return Target(TargetId('s', address, 1), locate(number), 3, 3600)


def make_fleet(nodes, targets):
    """Return the core of node 0, and the targets of the fleet."""
    records = {node.name: node for node in map(make_node, range(nodes))}
    known = tuple(map(make_target, range(targets)))
    core: Any = SimpleNamespace(
        own=SimpleNamespace(record=records['r0']),
        state_table=SimpleNamespace(alive=frozenset(records), records=records),
        view=SimpleNamespace(
            targets_of=lambda service: known,
            revision_of=lambda service: 1,
        ),
    )
    return core, known


def test_a_small_service_is_reported_to_the_whole_domain():
    core, targets = make_fleet(50, 20)
    recipients = TargetUsers(core).list_addresses(100, targets[0].id)
    assert len(recipients) == 9
    assert {ip[:5] for ip in recipients} == {'10.0.'}


def test_recipients_in_a_large_domain_are_bounded():
    core, targets = make_fleet(600, 20)
    recipients = TargetUsers(core).list_addresses(100, targets[0].id)
    assert len(recipients) == MAXIMUM_RECIPIENTS


@mark.parametrize('number', [0, 1, 7])
def test_a_large_service_is_reported_to_its_users(number):
    """Recipients are the nodes whose subset holds the target."""
    core, targets = make_fleet(235, 178)
    target = targets[number]
    recipients = TargetUsers(core).list_addresses(100, target.id)
    users = set()
    for other in range(5, 235, 5):
        node = make_node(other)
        if target in choose_subset(targets, node.locality, 235):
            users.add(node.link.ip)
    assert set(recipients) == users
    assert 0 < len(recipients) < MAXIMUM_RECIPIENTS


def test_reports_to_a_node_are_bounded_by_its_subset():
    for size in (235, 1000):
        core, targets = make_fleet(size, size)
        users_by_target = TargetUsers(core)
        received = sum(
            '10.0.0.1' in users_by_target.list_addresses(100, target.id)
            for target in targets
        )
        assert received <= LARGEST_SUBSET


def test_other_regions_receive_no_reports():
    core, targets = make_fleet(5, 5)
    outsider = make_node(0, region='far')
    core.state_table.records[outsider.name] = outsider
    core.state_table.alive |= {outsider.name}
    assert not TargetUsers(core).list_addresses(100, targets[0].id)


def test_users_are_computed_again_after_the_cache_expires():
    core, targets = make_fleet(235, 178)
    users_by_target = TargetUsers(core)
    before = users_by_target.list_addresses(100, targets[0].id)
    core.state_table.alive = frozenset(('r0',))
    assert users_by_target.list_addresses(101, targets[0].id) == before
    assert not users_by_target.list_addresses(
        101 + USERS_CACHED_SECONDS, targets[0].id
    )
