"""Recent evidence published by other nodes, by the node that observed it."""

from msgspec import Struct

from hillfield.detection.evidence import Evidence
from hillfield.fleet.records import RecordCodec, UpdateKind
from hillfield.fleet.state_table import StateTable


class NodeEvidence(Struct, frozen=True):
    """Hold one node's evidence about targets and its failure domain."""

    node: str
    domain: str
    evidence: tuple[Evidence, ...]


class EvidenceView:
    """Give access to each node's latest evidence until it expires."""

    def __init__(
        self,
        table: StateTable,
        codec: RecordCodec,
        lifetime: float,
    ) -> None:
        """Read evidence of a state table for `lifetime` seconds after receipt."""
        self._table = table
        self._codec = codec
        self._lifetime = lifetime
        self._received: dict[str, float] = {}
        self._changed: set[str] = set()

    def record_update(self, now: float, name: str) -> None:
        """Record that a node published new evidence."""
        self._received[name] = now
        self._changed.add(name)

    def expire(self, now: float) -> None:
        """Drop evidence whose lifetime has passed."""
        old = [
            name
            for name, received in self._received.items()
            if now - received >= self._lifetime
        ]
        for name in old:
            self._received.pop(name)
            self._changed.add(name)

    def evidence(self) -> tuple[NodeEvidence, ...]:
        """Return the recent evidence of all nodes that have any."""
        recent = (self.get_evidence(name) for name in sorted(self._received))
        return tuple(one for one in recent if one.evidence)

    def get_evidence(self, name: str) -> NodeEvidence:
        """Return one node's recent evidence, which may be empty."""
        record = self._table.records.get(name)
        update = self._table.get(UpdateKind.EVIDENCE, name)
        domain = '' if record is None else record.locality.failure_domain
        if update is None or name not in self._received:
            return NodeEvidence(name, domain, ())
        evidence = self._codec.decode_evidence(update.payload)
        return NodeEvidence(name, domain, evidence)

    def pop_changed(self) -> frozenset[str]:
        """Return the nodes whose evidence changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed
