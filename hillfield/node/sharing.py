"""Selection of the evidence that is published to the whole fleet.

Each published piece is flooded to all nodes, so the cost grows with the number
of nodes that publish. The evidence of a few nodes is enough to eject a target;
the other nodes publish nothing.
"""

from collections.abc import Iterator
from typing import Final

from msgspec import Struct
from xxhash import xxh64_intdigest

from hillfield.detection.evidence import Evidence
from hillfield.detection.indicators import Indicator
from hillfield.detection.reports import select_indicator
from hillfield.fleet import NodeEvidence
from hillfield.model import TargetId

PUBLISHERS_PER_DOMAIN: Final = 3
# Evidence is published again when its failures have grown by half.
GROWTH: Final = 1.5


class EvidenceKey(Struct, frozen=True):
    """Identify a piece of evidence by target and indicator."""

    target: TargetId
    indicator: Indicator

    @property
    def text(self) -> str:
        """Return a text that is the same at all nodes."""
        return f'{self.target} {self.indicator}'


class EvidenceFilter:
    """Drop evidence that enough nodes of this failure domain publish."""

    def __init__(self, node: str, domain: str) -> None:
        """Start with nothing published by this node."""
        self._node = node
        self._domain = domain
        self._published: dict[EvidenceKey, Evidence] = {}

    def select(
        self,
        own: tuple[Evidence, ...],
        others: tuple[NodeEvidence, ...],
    ) -> tuple[Evidence, ...]:
        """Return the evidence to publish; counts change only by half or more.

        All nodes rank the publishers of a piece in the same order, so that of
        nodes that start at the same moment the same few continue.
        """
        publishers = find_publishers(self._domain, others)
        self._published = {
            key: self._update(key, piece)
            for key, piece in _index(own)
            if self._is_allowed(key, publishers)
        }
        return tuple(self._published.values())

    def _update(self, key: EvidenceKey, piece: Evidence) -> Evidence:
        earlier = self._published.get(key)
        if earlier is None or earlier.symptom is not piece.symptom:
            return piece
        has_grown = piece.failures >= earlier.failures * GROWTH
        has_shrunk = earlier.failures >= piece.failures * GROWTH
        return piece if has_grown or has_shrunk else earlier

    def _is_allowed(
        self,
        key: EvidenceKey,
        publishers: dict[EvidenceKey, set[str]],
    ) -> bool:
        others = publishers.get(key, set()) - {self._node}
        if key not in self._published:
            return len(others) < PUBLISHERS_PER_DOMAIN
        own_rank = _rank(self._node, key)
        ahead = sum(_rank(other, key) < own_rank for other in others)
        return ahead < PUBLISHERS_PER_DOMAIN


def find_publishers(
    domain: str,
    others: tuple[NodeEvidence, ...],
) -> dict[EvidenceKey, set[str]]:
    """Return the nodes of a failure domain that publish each piece."""
    publishers: dict[EvidenceKey, set[str]] = {}
    for received in others:
        if received.domain != domain:
            continue
        for key, _ in _index(received.evidence):
            publishers.setdefault(key, set()).add(received.node)
    return publishers


def _index(
    evidence: tuple[Evidence, ...],
) -> Iterator[tuple[EvidenceKey, Evidence]]:
    for piece in evidence:
        yield EvidenceKey(piece.target, select_indicator(piece)), piece


def _rank(node: str, key: EvidenceKey) -> int:
    return xxh64_intdigest(f'{node} {key.text}'.encode())
