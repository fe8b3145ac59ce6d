"""The gate: admission of the fleet's requests to the target of this host."""

from hillfield.gate.gate import Gate
from hillfield.gate.hop import (
    HopDialect,
    HopInstructions,
    add_capacity_header,
)
from hillfield.gate.incarnations import IncarnationTracker
from hillfield.gate.plans import GatePlans
from hillfield.gate.served import ServedIncarnation

__all__ = (
    'Gate',
    'GatePlans',
    'HopDialect',
    'HopInstructions',
    'ServedIncarnation',
    'IncarnationTracker',
    'add_capacity_header',
)
