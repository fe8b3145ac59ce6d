"""The gate: admission of the fleet's requests to the target of this host."""

from hillfield.gate.gate import Gate
from hillfield.gate.headers import add_room
from hillfield.gate.hop import HopDialect, HopInstructions
from hillfield.gate.plans import GatePlans
from hillfield.gate.seating import Seating
from hillfield.gate.served import Seat

__all__ = (
    'Gate',
    'GatePlans',
    'HopDialect',
    'HopInstructions',
    'Seat',
    'Seating',
    'add_room',
)
