"""Test which evidence is told to the fleet."""

from msgspec.structs import replace

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.fleet import NodeEvidence
from hillfield.model import Address, TargetId
from hillfield.node.sharing import TELLERS_PER_DOMAIN, EvidenceGate

TARGET = TargetId('claims', Address('127.0.0.1', 80), 1)
PIECE = Evidence(TARGET, Symptom.WRONG, 4, 3, 1)


def tell(gates, rounds):
    """Let all gates of one failure domain hear each other for some rounds."""
    told: dict[str, tuple[Evidence, ...]] = {}
    for _ in range(rounds):
        heard = tuple(
            NodeEvidence(name, 'north', evidence)
            for name, evidence in told.items()
        )
        told = {
            name: gate.select((PIECE,), heard) for name, gate in gates.items()
        }
    return [name for name, evidence in told.items() if evidence]


def test_evidence_of_many_nodes_does_not_flood_the_fleet():
    """Of 40 nodes that see the same, a few go on to tell.

    Each statement is flooded: 36 tellers cost each node 8,676 B/s.
    """
    names = [f'node-{number}' for number in range(40)]
    gates = {name: EvidenceGate(name, 'north') for name in names}
    assert len(tell(gates, 1)) == 40
    tellers = tell(gates, 3)
    assert len(tellers) == TELLERS_PER_DOMAIN
    assert tell(gates, 2) == tellers


def test_tellers_of_other_domains_do_not_silence():
    """Each failure domain keeps its own witnesses."""
    names = [f'node-{number}' for number in range(9)]
    others = tuple(NodeEvidence(name, 'south', (PIECE,)) for name in names)
    gate = EvidenceGate('own', 'north')
    assert gate.select((PIECE,), others) == (PIECE,)


def test_counts_are_told_anew_when_they_grow_by_half():
    """A count that grows a little is not worth a flood."""
    gate = EvidenceGate('own', 'north')
    grown = replace(PIECE, failures=4)
    worse = replace(PIECE, failures=5)
    assert gate.select((PIECE,), ()) == (PIECE,)
    assert gate.select((grown,), ()) == (PIECE,)
    assert gate.select((worse,), ()) == (worse,)


def test_the_third_failure_is_told():
    """One node ejected a target; the other, told of two, never heard more."""
    gate = EvidenceGate('own', 'north')
    few = replace(PIECE, failures=2)
    assert gate.select((few,), ()) == (few,)
    assert gate.select((PIECE,), ()) == (PIECE,)


def test_what_is_over_is_withdrawn_and_told_again():
    """An accusation that ends and comes back is a new one."""
    gate = EvidenceGate('own', 'north')
    assert gate.select((PIECE,), ())
    assert not gate.select((), ())
    assert gate.select((PIECE,), ()) == (PIECE,)


def test_pieces_of_one_symptom_are_all_told():
    """Late and very late answers are counted apart, and both are told.

    Told apart by their symptom alone, the lighter piece replaced the
    heavier, and a node that had ejected a target left the other in doubt.
    """
    gate = EvidenceGate('own', 'north')
    late = replace(PIECE, symptom=Symptom.SLOW, slowness=2)
    very_late = replace(late, slowness=4)
    assert gate.select((very_late, late), ()) == (very_late, late)
