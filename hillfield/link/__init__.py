"""Message links between nodes, over pynng."""

from hillfield.link.faults import LinkFaults, PlannedFault
from hillfield.link.layer import (
    LinkCounts,
    LinkError,
    LinkLayer,
    LinkSettings,
)

__all__ = (
    'LinkCounts',
    'LinkError',
    'LinkFaults',
    'LinkLayer',
    'LinkSettings',
    'PlannedFault',
)
