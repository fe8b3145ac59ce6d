"""Events that the fleet's state handles, and effects that it returns."""

from msgspec import Struct

from hillfield.events import Occurrence
from hillfield.fleet.envelope import Received, Refusal
from hillfield.fleet.messages import Message
from hillfield.model import Address


class Refused(Struct, frozen=True):
    """Bytes came that are no message of this cluster."""

    reason: Refusal


class Ticked(Struct, frozen=True):
    """Time has passed; due every 0.1 s or more often."""


class StoreRead(Struct, frozen=True):
    """This node has read the store.

    `requested` is when it sent the request for the entries that it now holds,
    in monotonic seconds; None if the read failed.
    """

    requested: float | None


class SendTo(Struct, frozen=True):
    """Send a message over a link."""

    peer: Address
    message: Message


class Dial(Struct, frozen=True):
    """Open a link."""

    peer: Address


class Disconnect(Struct, frozen=True):
    """Close a link."""

    peer: Address


class Report(Struct, frozen=True):
    """Record an event in the journal."""

    occurrence: Occurrence


Event = Received | Refused | StoreRead | Ticked
Effect = SendTo | Dial | Disconnect | Report
