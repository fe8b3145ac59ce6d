"""The recipients of a gate's load reports."""

from collections import Counter

from hillfield.fleet import NodeRecord
from hillfield.fleet.recipients import choose_recipients
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


def test_one_node_of_each_other_domain_is_a_recipient():
    recipients = choose_recipients(NODES[0], NODES)
    assert {ip[:5] for ip in recipients.remote_relays} == {'10.1.', '10.2.'}
    assert len(recipients.remote_relays) == 2


def test_only_nodes_of_other_domains_are_elsewhere():
    """Reports of the own domain are not forwarded, in a domain of any size.

    In a domain of 47 nodes of which only 40 counted as local, reports were
    forwarded without end: 5 of 40 receivers took them for remote ones.
    """
    local = tuple(make_node('a', number) for number in range(200))
    others = (*local, *NODES[10:])
    recipients = choose_recipients(local[0], others)
    subnets = {ip[:5] for ip in recipients.remote_nodes}
    assert subnets == {'10.1.', '10.2.'}
    assert len(recipients.remote_nodes) == 20


def test_the_nodes_of_a_domain_share_remote_reports():
    recipients = Counter(
        ip
        for node in NODES
        for ip in choose_recipients(node, NODES).remote_relays
    )
    assert len(recipients) > len(NODES) / 2
    assert max(recipients.values()) <= 8


def test_nodes_of_other_regions_are_no_recipients():
    remote = make_node('a', 1, region='far')
    recipients = choose_recipients(NODES[0], (remote,))
    assert not (recipients.remote_relays or recipients.remote_nodes)
