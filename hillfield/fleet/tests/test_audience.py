"""Whom a gate tells of its target's room."""

from collections import Counter

from hillfield.fleet import NodeRecord
from hillfield.fleet.audience import NEAR_MOST, choose_audience
from hillfield.model import Address, Locality

DOMAINS = 'abc'


def make_node(domain, number, region='r'):
    name = f'{region}-{domain}-{number}'
    subnet = DOMAINS.index(domain)
    address = Address(f'10.{subnet}.0.{number}', 7000)
    place = Locality(region, domain, name)
    return NodeRecord(name, place, address, address, address)


NODES = tuple(
    make_node(domain, number) for domain in DOMAINS for number in range(10)
)


def test_all_of_the_own_domain_and_one_of_each_other_are_told():
    audience = choose_audience(NODES[0], NODES)
    assert len(audience.near) == 9
    assert {ip[:5] for ip in audience.near} == {'10.0.'}
    assert {ip[:5] for ip in audience.far} == {'10.1.', '10.2.'}
    assert len(audience.far) == 2


def test_the_nodes_of_a_domain_share_what_comes_from_afar():
    told = Counter(
        ip for node in NODES for ip in choose_audience(node, NODES).far
    )
    assert len(told) > len(NODES) / 2
    assert max(told.values()) <= 8


def test_a_large_domain_is_told_in_part():
    nodes = tuple(make_node('a', number) for number in range(200))
    assert len(choose_audience(nodes[0], nodes).near) == NEAR_MOST


def test_other_regions_are_not_told():
    elsewhere = make_node('a', 1, region='far')
    audience = choose_audience(NODES[0], (elsewhere,))
    assert audience.near == audience.far == ()
