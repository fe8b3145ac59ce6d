"""Evidence received from other nodes, kept for a few seconds."""

from itertools import chain
from typing import Final

from msgspec import Struct

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.indicators import Indicator
from hillfield.detection.latencies import HUNG_FACTOR, VERY_SLOW_FACTOR
from hillfield.model import TargetId

MAX_NODES: Final = 64
MAX_PIECES_PER_NODE: Final = 32


def select_indicator(evidence: Evidence) -> Indicator:
    """Return the indicator whose counts a piece of evidence reports.

    Several pieces on one target may have the same symptom.
    """
    match evidence.symptom:
        case Symptom.UNREACHABLE:
            return Indicator.UNREACHABLE
        case Symptom.WRONG | Symptom.BROKEN:
            return Indicator.ERROR
    if evidence.slowness >= HUNG_FACTOR:
        return Indicator.HUNG
    if evidence.slowness >= VERY_SLOW_FACTOR:
        return Indicator.VERY_SLOW
    return Indicator.SLOW


class ReceivedEvidence(Struct, frozen=True):
    """Hold another node's piece of evidence and when it was received."""

    node: str
    domain: str
    received_at: float
    evidence: Evidence

    @property
    def indicator(self) -> Indicator:
        """Return the indicator whose counts the evidence reports."""
        return select_indicator(self.evidence)


ReceivedPieces = tuple[ReceivedEvidence, ...]
EvidenceByNode = dict[str, list[ReceivedEvidence]]


class EvidenceReports:
    """Keep the newest report of each node, for a bounded number of nodes."""

    def __init__(self) -> None:
        """Start empty."""
        self._reports: dict[str, tuple[ReceivedEvidence, ...]] = {}
        self._by_target: dict[TargetId, EvidenceByNode] = {}

    def replace_report(
        self,
        node: str,
        pieces: tuple[ReceivedEvidence, ...],
    ) -> frozenset[TargetId]:
        """Replace that node's report; return targets with new failures."""
        earlier = self._remove(node)
        kept = pieces[:MAX_PIECES_PER_NODE]
        if kept:
            self._reports[node] = kept
        for piece in kept:
            self._index(piece)
        while len(self._reports) > MAX_NODES:
            self._remove(next(iter(self._reports)))
        return frozenset(
            newer.evidence.target
            for newer in kept
            if _has_grown(newer, earlier)
        )

    def expire(self, before: float) -> None:
        """Remove reports received before that time."""
        expired = [
            node
            for node, pieces in self._reports.items()
            if pieces[0].received_at < before
        ]
        for node in expired:
            self._remove(node)

    @property
    def has_any(self) -> bool:
        """Return whether any node has reported evidence."""
        return bool(self._reports)

    def has_target(self, target: TargetId) -> bool:
        """Return whether there is evidence on this incarnation."""
        return target in self._by_target

    def for_target(self, target: TargetId) -> tuple[ReceivedEvidence, ...]:
        """Return the evidence on exactly this incarnation of the target."""
        by_node = self._by_target.get(target)
        if not by_node:
            return ()
        return tuple(chain.from_iterable(by_node.values()))

    def _index(self, piece: ReceivedEvidence) -> None:
        target = piece.evidence.target
        by_node = self._by_target.setdefault(target, {})
        by_node.setdefault(piece.node, []).append(piece)

    def _remove(self, node: str) -> tuple[ReceivedEvidence, ...]:
        earlier = self._reports.pop(node, ())
        for piece in earlier:
            target = piece.evidence.target
            by_node = self._by_target.get(target, {})
            by_node.pop(node, None)
            if not by_node:
                self._by_target.pop(target, None)
        return earlier


def _has_grown(
    piece: ReceivedEvidence,
    earlier: tuple[ReceivedEvidence, ...],
) -> bool:
    evidence = piece.evidence
    return not any(
        known.evidence.target == evidence.target
        and known.indicator is piece.indicator
        and known.evidence.failures >= evidence.failures
        for known in earlier
    )
