"""What other nodes tell, for a few seconds."""

from itertools import chain
from typing import Final

from msgspec import Struct

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.detection.indicators import Indicator
from hillfield.detection.latencies import HUNG_FACTOR, VERY_SLOW_FACTOR
from hillfield.model import TargetId

MAX_NODES: Final = 64
MAX_PIECES_PER_NODE: Final = 32


def find_indicator(evidence: Evidence) -> Indicator:
    """Return the indicator that a piece of evidence counts.

    One target may be told of by several pieces with the same symptom.
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
    """Hold one piece of evidence, where it comes from and when it came."""

    node: str
    domain: str
    received_at: float
    evidence: Evidence

    @property
    def indicator(self) -> Indicator:
        """Return the indicator that the evidence counts."""
        return find_indicator(self.evidence)


Statements = tuple[ReceivedEvidence, ...]
EvidenceByNode = dict[str, list[ReceivedEvidence]]


class EvidenceReports:
    """Keep the newest report of each node, a bounded number of them."""

    def __init__(self) -> None:
        """Start empty."""
        self._reports: dict[str, tuple[ReceivedEvidence, ...]] = {}
        self._by_target: dict[TargetId, EvidenceByNode] = {}

    def replace_report(
        self,
        node: str,
        statements: tuple[ReceivedEvidence, ...],
    ) -> frozenset[TargetId]:
        """Replace that node's report; return the targets it newly accuses."""
        earlier = self._remove(node)
        kept = statements[:MAX_PIECES_PER_NODE]
        if kept:
            self._reports[node] = kept
        for statement in kept:
            self._index(statement)
        while len(self._reports) > MAX_NODES:
            self._remove(next(iter(self._reports)))
        return frozenset(
            accused.evidence.target
            for accused in kept
            if _has_grown(accused, earlier)
        )

    def expire(self, before: float) -> None:
        """Forget reports taken before that time."""
        stale = [
            node
            for node, statements in self._reports.items()
            if statements[0].received_at < before
        ]
        for node in stale:
            self._remove(node)

    @property
    def has_any(self) -> bool:
        """Return whether any node tells anything."""
        return bool(self._reports)

    def has_target(self, target: TargetId) -> bool:
        """Return whether anything is told of this life of the target."""
        return target in self._by_target

    def for_target(self, target: TargetId) -> tuple[ReceivedEvidence, ...]:
        """Return what is told of exactly this life of the target."""
        by_node = self._by_target.get(target)
        if not by_node:
            return ()
        return tuple(chain.from_iterable(by_node.values()))

    def _index(self, statement: ReceivedEvidence) -> None:
        target = statement.evidence.target
        by_node = self._by_target.setdefault(target, {})
        by_node.setdefault(statement.node, []).append(statement)

    def _remove(self, node: str) -> tuple[ReceivedEvidence, ...]:
        earlier = self._reports.pop(node, ())
        for statement in earlier:
            target = statement.evidence.target
            by_node = self._by_target.get(target, {})
            by_node.pop(node, None)
            if not by_node:
                self._by_target.pop(target, None)
        return earlier


def _has_grown(
    statement: ReceivedEvidence,
    earlier: tuple[ReceivedEvidence, ...],
) -> bool:
    evidence = statement.evidence
    return not any(
        known.evidence.target == evidence.target
        and known.indicator is statement.indicator
        and known.evidence.failures >= evidence.failures
        for known in earlier
    )
