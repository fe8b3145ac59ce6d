"""The gate: admission of the fleet's requests to the target of this host."""

from hillfield.gate.gate import Gate
from hillfield.gate.hop import (
    HOP_HEAD_ROOM,
    HopDialect,
    HopInstructions,
    make_gate_settings,
)
from hillfield.gate.incarnations import IncarnationTracker
from hillfield.gate.plans import GatePlans
from hillfield.gate.served import ServedIncarnation

__all__ = (
    'HOP_HEAD_ROOM',
    'Gate',
    'GatePlans',
    'HopDialect',
    'HopInstructions',
    'ServedIncarnation',
    'IncarnationTracker',
    'make_gate_settings',
)
