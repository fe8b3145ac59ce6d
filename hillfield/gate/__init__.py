"""The gate: admission of the fleet's requests to the target of this host."""

from hillfield.gate.gate import Gate
from hillfield.gate.hop import HopDialect, HopOrder
from hillfield.gate.plans import GatePlans
from hillfield.gate.seat import Seat
from hillfield.gate.seating import Seating
from hillfield.gate.telling import add_room

__all__ = (
    'Gate',
    'GatePlans',
    'HopDialect',
    'HopOrder',
    'Seat',
    'Seating',
    'add_room',
)
