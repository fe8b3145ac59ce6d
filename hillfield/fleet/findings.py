"""Evidence of other nodes: recent, bounded, relative to who saw it."""

from msgspec import Struct

from hillfield.detection.evidence import Evidence
from hillfield.fleet.state_table import StateTable
from hillfield.fleet.records import Kind, RecordCodec


class NodeEvidence(Struct, frozen=True):
    """Hold what one node, seen from its place, says of targets."""

    node: str
    domain: str
    evidence: tuple[Evidence, ...]


class FindingsView:
    """Hold each node's latest evidence until it is too old."""

    def __init__(
        self,
        book: StateTable,
        codec: RecordCodec,
        life: float,
    ) -> None:
        """Show a book's evidence for `life` seconds after it came."""
        self._book = book
        self._codec = codec
        self._life = life
        self._came: dict[str, float] = {}
        self._changed: set[str] = set()

    def record_update(self, now: float, name: str) -> None:
        """Note that a node said something new."""
        self._came[name] = now
        self._changed.add(name)

    def expire(self, now: float) -> None:
        """Drop what is too old."""
        old = [
            name
            for name, came in self._came.items()
            if now - came >= self._life
        ]
        for name in old:
            self._came.pop(name)
            self._changed.add(name)

    def evidence(self) -> tuple[NodeEvidence, ...]:
        """Return all recent evidence that isn't empty."""
        found = (self.get_evidence(name) for name in sorted(self._came))
        return tuple(finding for finding in found if finding.evidence)

    def get_evidence(self, name: str) -> NodeEvidence:
        """Return one node's recent evidence; empty when it has none."""
        record = self._book.records.get(name)
        statement = self._book.get(Kind.EVIDENCE, name)
        domain = '' if record is None else record.locality.failure_domain
        if statement is None or name not in self._came:
            return NodeEvidence(name, domain, ())
        evidence = self._codec.decode_evidence(statement.payload)
        return NodeEvidence(name, domain, evidence)

    def pop_changed(self) -> frozenset[str]:
        """Return the nodes whose evidence changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed
