"""What goes into the fleet's state and what comes out."""

from msgspec import Struct

from hillfield.events import Occurrence
from hillfield.fleet.envelope import Received, Refusal
from hillfield.fleet.messages import Message
from hillfield.model import Address


class Refused(Struct, frozen=True):
    """Note that bytes came that aren't a message of this cluster."""

    reason: Refusal


class Ticked(Struct, frozen=True):
    """Note that time has passed; due each 0.1 s or less."""


class StoreRead(Struct, frozen=True):
    """Note when this node asked for all of the store that it now holds.

    `requested` is in monotonic seconds; None: it asked in vain.
    """

    requested: float | None


class SendTo(Struct, frozen=True):
    """Ask for a message to be sent over a link."""

    peer: Address
    message: Message


class Dial(Struct, frozen=True):
    """Ask for a link to be opened."""

    peer: Address


class Disconnect(Struct, frozen=True):
    """Ask for a link to be closed."""

    peer: Address


class Report(Struct, frozen=True):
    """Ask for an event to be recorded."""

    occurrence: Occurrence


Event = Received | Refused | StoreRead | Ticked
Effect = SendTo | Dial | Disconnect | Report
