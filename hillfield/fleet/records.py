"""The records that nodes publish, and their encoding."""

from enum import StrEnum
from math import inf
from sys import intern
from typing import Final

from msgspec import MsgspecError, Struct
from msgspec.msgpack import Decoder, Encoder

from hillfield.detection.evidence import Evidence, Symptom
from hillfield.model import Address, Locality, Target, TargetId, TargetState

# Highest slots and connection limit of a target that is accepted.
COUNT_LIMIT: Final = 1048576
PORT_LIMIT: Final = 65535


class UpdateKind(StrEnum):
    """Name the content of a state update; values are sent on links."""

    MEMBER = 'm'
    TARGETS = 't'
    EVIDENCE = 'e'


class NodeState(StrEnum):
    """Name the state that a node publishes of itself."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'


class NodeRecord(Struct, frozen=True, array_like=True):
    """Describe a node: its addresses, its locality and its reachable peers.

    `receives_from` names the peers whose messages reach it, `relay_slot` the
    relay slot that it holds (empty: none).
    """

    name: str
    locality: Locality
    link: Address
    control: Address
    caller: Address
    state: NodeState = NodeState.JOINING
    receives_from: tuple[str, ...] = ()
    relay_slot: str = ''


class TargetRow(Struct, frozen=True, array_like=True):
    """Encoded target; the locality is left out if it is that of its node."""

    service: str
    ip: str
    port: int
    incarnation: int
    slots: int
    connection_limit: int
    weight: float
    state: TargetState
    locality: Locality | None = None


class EvidenceRow(Struct, frozen=True, array_like=True):
    """Encoded piece of evidence."""

    service: str
    ip: str
    port: int
    incarnation: int
    symptom: Symptom
    requests: int
    failures: int
    slowness: float


class RecordCodec:
    """Encode and decode the payloads of state updates.

    A payload that cannot be decoded yields nothing: it comes from a node
    with the cluster's key, so it is the result of a fault or of a later
    format, and must do no harm.
    """

    def __init__(self) -> None:
        """Create the encoder and the decoders."""
        self._encoder = Encoder()
        self._records = Decoder(NodeRecord)
        self._targets = Decoder(tuple[TargetRow, ...])
        self._evidence = Decoder(tuple[EvidenceRow, ...])

    def encode_record(self, record: NodeRecord) -> bytes:
        """Encode a node's record."""
        return self._encoder.encode(record)

    def decode_record(self, payload: bytes) -> NodeRecord | None:
        """Decode a node's record; return None if it is malformed."""
        try:
            return self._records.decode(payload)
        except (MsgspecError, UnicodeDecodeError):
            return None

    def encode_targets(
        self,
        home: Locality,
        targets: tuple[Target, ...],
    ) -> bytes:
        """Encode a host's targets, without their load.

        The load changes with each request: sent to all nodes, it would be
        stale on arrival and cost more than everything else.
        """
        return self._encoder.encode(
            tuple(_target_row(home, target) for target in targets),
        )

    def decode_targets(
        self,
        home: Locality,
        payload: bytes,
    ) -> tuple[Target, ...]:
        """Decode a host's targets; leave out those with invalid numbers."""
        try:
            rows = self._targets.decode(payload)
        except (MsgspecError, UnicodeDecodeError):
            return ()
        return tuple(
            _target(home, row) for row in rows if _is_valid_target(row)
        )

    def encode_evidence(self, evidence: tuple[Evidence, ...]) -> bytes:
        """Encode a node's evidence."""
        return self._encoder.encode(
            tuple(_evidence_row(piece) for piece in evidence),
        )

    def decode_evidence(self, payload: bytes) -> tuple[Evidence, ...]:
        """Decode a node's evidence; leave out pieces with invalid numbers."""
        try:
            rows = self._evidence.decode(payload)
        except (MsgspecError, UnicodeDecodeError):
            return ()
        return tuple(_evidence(row) for row in rows if _is_valid_evidence(row))


def _is_valid_target(row: TargetRow) -> bool:
    """Return whether routing can compute with a target's numbers."""
    counted = (row.slots, row.connection_limit, row.port)
    if not 0 < row.weight < inf or row.port > PORT_LIMIT:
        return False
    return all(0 < count <= COUNT_LIMIT for count in counted)


def _is_valid_evidence(row: EvidenceRow) -> bool:
    """Return whether detection can compute with a piece's numbers."""
    counted = min(row.failures, row.requests)
    return counted >= 0 and 0 <= row.slowness < inf


def _target_row(home: Locality, target: Target) -> TargetRow:
    return TargetRow(
        service=target.id.service,
        ip=target.id.address.ip,
        port=target.id.address.port,
        incarnation=target.id.incarnation,
        slots=target.slots,
        connection_limit=target.connection_limit,
        weight=target.weight,
        state=target.state,
        locality=None if target.locality == home else target.locality,
    )


def _target(home: Locality, row: TargetRow) -> Target:
    address = Address(intern(row.ip), row.port)
    return Target(
        id=TargetId(intern(row.service), address, row.incarnation),
        locality=row.locality or home,
        slots=row.slots,
        connection_limit=row.connection_limit,
        weight=row.weight,
        state=row.state,
    )


def _evidence_row(piece: Evidence) -> EvidenceRow:
    return EvidenceRow(
        service=piece.target.service,
        ip=piece.target.address.ip,
        port=piece.target.address.port,
        incarnation=piece.target.incarnation,
        symptom=piece.symptom,
        requests=piece.requests,
        failures=piece.failures,
        slowness=piece.slowness,
    )


def _evidence(row: EvidenceRow) -> Evidence:
    address = Address(intern(row.ip), row.port)
    return Evidence(
        target=TargetId(intern(row.service), address, row.incarnation),
        symptom=row.symptom,
        requests=row.requests,
        failures=row.failures,
        slowness=row.slowness,
    )
