"""Which evidence a node publishes to the fleet."""

from msgspec.structs import replace

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.fleet import NodeEvidence
from hillfield.model import Address, TargetId
from hillfield.node.sharing import PUBLISHERS_PER_DOMAIN, EvidenceFilter

TARGET = TargetId('claims', Address('127.0.0.1', 80), 1)
PIECE = Evidence(TARGET, Symptom.WRONG, 4, 3, 1)


def exchange(gates, rounds):
    """Exchange evidence among the gates of one domain for some rounds."""
    received: dict[str, tuple[Evidence, ...]] = {}
    for _ in range(rounds):
        received_evidence = tuple(
            NodeEvidence(name, 'north', evidence)
            for name, evidence in received.items()
        )
        received = {
            name: gate.select((PIECE,), received_evidence)
            for name, gate in gates.items()
        }
    return [name for name, evidence in received.items() if evidence]


def test_evidence_of_many_nodes_does_not_flood_the_fleet():
    """Of 40 nodes with the same evidence, a few continue to publish it.

    Each piece is flooded: 36 publishers cost each node 8,676 B/s.
    """
    names = [f'node-{number}' for number in range(40)]
    gates = {name: EvidenceFilter(name, 'north') for name in names}
    assert len(exchange(gates, 1)) == 40
    publishers = exchange(gates, 3)
    assert len(publishers) == PUBLISHERS_PER_DOMAIN
    assert exchange(gates, 2) == publishers


def test_publishers_of_other_domains_do_not_count():
    """Each failure domain keeps its own publishers."""
    names = [f'node-{number}' for number in range(9)]
    others = tuple(NodeEvidence(name, 'south', (PIECE,)) for name in names)
    gate = EvidenceFilter('own', 'north')
    assert gate.select((PIECE,), others) == (PIECE,)


def test_counts_are_published_again_when_they_grow_by_half():
    """A count that grows by less is not worth the cost of a flood."""
    gate = EvidenceFilter('own', 'north')
    grown = replace(PIECE, failures=4)
    worse = replace(PIECE, failures=5)
    assert gate.select((PIECE,), ()) == (PIECE,)
    assert gate.select((grown,), ()) == (PIECE,)
    assert gate.select((worse,), ()) == (worse,)


def test_the_third_failure_is_published():
    """Otherwise one node ejects a target, and its peers hold two failures."""
    gate = EvidenceFilter('own', 'north')
    few = replace(PIECE, failures=2)
    assert gate.select((few,), ()) == (few,)
    assert gate.select((PIECE,), ()) == (PIECE,)


def test_evidence_that_ended_is_withdrawn_and_published_again():
    """Evidence that ends and comes back is published as new."""
    gate = EvidenceFilter('own', 'north')
    assert gate.select((PIECE,), ())
    assert not gate.select((), ())
    assert gate.select((PIECE,), ()) == (PIECE,)


def test_pieces_of_one_symptom_are_all_published():
    """Late and very late answers are separate pieces, and both are published.

    Identified by their symptom alone, the piece of the weaker indicator
    replaced the stronger one, so that a node ejected a target and its peer did
    not.
    """
    gate = EvidenceFilter('own', 'north')
    late = replace(PIECE, symptom=Symptom.SLOW, slowness=2)
    very_late = replace(late, slowness=4)
    assert gate.select((very_late, late), ()) == (very_late, late)
