"""Dissemination of membership, targets, evidence and configuration."""

from hillfield.fleet.evidence_view import NodeEvidence
from hillfield.fleet.readiness import describe_missing_readiness
from hillfield.fleet.records import NodeRecord, NodeState
from hillfield.fleet.replication.entry_index import EntryStore
from hillfield.fleet.service import Fleet, FleetListeners
from hillfield.fleet.settings import FleetSettings
from hillfield.fleet.state import FleetState

__all__ = (
    'EntryStore',
    'Fleet',
    'FleetListeners',
    'FleetSettings',
    'FleetState',
    'NodeEvidence',
    'NodeRecord',
    'NodeState',
    'describe_missing_readiness',
)
