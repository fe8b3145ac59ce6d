"""Choice of the evidence that is worth telling the whole fleet.

Each statement is flooded to all nodes, so its cost grows with the number of
nodes that tell. A target is condemned by a few of them: the rest keep quiet.
"""

from collections.abc import Iterator
from typing import Final

from msgspec import Struct
from xxhash import xxh64_intdigest

from hillfield.detection.evidence import Evidence
from hillfield.detection.indicators import Indicator
from hillfield.detection.reports import find_indicator
from hillfield.fleet import NodeEvidence
from hillfield.model import TargetId

TELLERS_PER_DOMAIN: Final = 3
# A statement is told anew when its failures have grown by half.
GROWTH: Final = 1.5


class Accusation(Struct, frozen=True):
    """Name what is counted against a target."""

    target: TargetId
    indicator: Indicator

    @property
    def text(self) -> str:
        """Return a text that all nodes derive alike."""
        return f'{self.target} {self.indicator}'


class EvidenceGate:
    """Hold back what enough nodes of the own failure domain tell already."""

    def __init__(self, node: str, domain: str) -> None:
        """Tell for this node of this failure domain."""
        self._node = node
        self._domain = domain
        self._told: dict[Accusation, Evidence] = {}

    def select(
        self,
        own: tuple[Evidence, ...],
        others: tuple[NodeEvidence, ...],
    ) -> tuple[Evidence, ...]:
        """Return what to tell; earlier counts stay until they grow by half.

        All nodes rank the tellers of an accusation alike, so that of those
        that began at the same moment the same few go on.
        """
        tellers = find_tellers(self._domain, others)
        self._told = {
            accusation: self._renew(accusation, piece)
            for accusation, piece in _index(own)
            if self._may_tell(accusation, tellers)
        }
        return tuple(self._told.values())

    def _renew(self, accusation: Accusation, piece: Evidence) -> Evidence:
        earlier = self._told.get(accusation)
        if earlier is None or earlier.symptom is not piece.symptom:
            return piece
        has_grown = piece.failures >= earlier.failures * GROWTH
        has_shrunk = earlier.failures >= piece.failures * GROWTH
        return piece if has_grown or has_shrunk else earlier

    def _may_tell(
        self,
        accusation: Accusation,
        tellers: dict[Accusation, set[str]],
    ) -> bool:
        others = tellers.get(accusation, set()) - {self._node}
        if accusation not in self._told:
            return len(others) < TELLERS_PER_DOMAIN
        own_rank = _rank(self._node, accusation)
        ahead = sum(_rank(other, accusation) < own_rank for other in others)
        return ahead < TELLERS_PER_DOMAIN


def find_tellers(
    domain: str,
    others: tuple[NodeEvidence, ...],
) -> dict[Accusation, set[str]]:
    """Return the nodes of a failure domain that make each accusation."""
    tellers: dict[Accusation, set[str]] = {}
    for told in others:
        if told.domain != domain:
            continue
        for accusation, _ in _index(told.evidence):
            tellers.setdefault(accusation, set()).add(told.node)
    return tellers


def _index(
    evidence: tuple[Evidence, ...],
) -> Iterator[tuple[Accusation, Evidence]]:
    for piece in evidence:
        yield Accusation(piece.target, find_indicator(piece)), piece


def _rank(node: str, accusation: Accusation) -> int:
    return xxh64_intdigest(f'{node} {accusation.text}'.encode())
